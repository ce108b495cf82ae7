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
    String instance;
    Long seed;
    Long request;
    Long attempt;
    Long took;
    Long code;
    Long left;
    Long costHint;
    Long bits;
    Long token;
    Long sheet;
    Boolean closed;
    String host;
    String serviceClass;
    String tenant;
    String key;
    String how;
    SettingsReader.Setup setup;
    List<Entry> entries;
    Map<String, Double> report;

    /** One line of a sheet, with names in place of the indexes that the settings give them. */
    record Entry(String host, String zone, long cell, String state, double weight, long started) { }
}
