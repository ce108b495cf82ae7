package dapplequay.benchlink;

import java.util.List;
import java.util.Map;
import dapplequay.settings.SettingsReader;

/**
 * One message as it was read, with names that are not resolved against its instance's settings yet. Mutable, as fields
 * may arrive in any order. A field that is absent is null.
 */
final class Event {
    String kind;
    String instanceName;
    Long seed;
    Long request;
    Long attempt;
    Long tookUs;
    Long outcomeCode;
    Long leftUs;
    Long costHintUs;
    Long stateBits;
    Long timerToken;
    Long sheetNumber;
    Boolean isFinal;
    String host;
    String serviceClass;
    String tenant;
    String key;
    String listKind;
    SettingsReader.Setup setup;
    List<Entry> entries;
    Map<String, Double> loadReport;

    /** One server of a sheet (the simulator's fleet list), with its zone as a name. */
    record Entry(String host, String zone, long cell, String state, double weight, long startedUs) { }
}
