package dapplequay.benchlink;

import java.util.List;
import java.util.Map;
import dapplequay.settings.SettingsReader;

/**
 * One message as it was read, before its instance's settings give its names a meaning. Mutable and short-
 * lived: the wire lets fields come in any order. A field that did not come stays null.
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

    /** One line of a sheet, with names in place of the indexes that the settings give them. */
    record Entry(String host, String zone, long cell, String state, double weight, long startedUs) { }
}
