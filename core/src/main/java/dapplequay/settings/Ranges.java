package dapplequay.settings;

import dapplequay.BalancerApi.ServiceClass;
import dapplequay.BalancerApi.Tenant;
import dapplequay.settings.SettingsReader.Setup;

/** Whether the settings of an operator's file lie within their ranges, told with the file's own keys. */
public final class Ranges {
    private final String place;

    private Ranges(String place) {
        this.place = place;
    }

    /** The same settings; SettingsException where one is out of range. {@code place} begins its message. */
    public static Setup checked(Setup setup, String place) {
        Ranges ranges = new Ranges(place);
        if (setup.settings().classes().isEmpty()) {
            throw new SettingsException(place + ": services names no classes");
        }
        for (ServiceClass c : setup.settings().classes()) {
            ranges.positive("aim_us of " + c.name(), c.aimUs());
            ranges.positive("deadline_us of " + c.name(), c.deadlineUs());
            ranges.notNegative("window_us of " + c.name(), c.windowUs());
            ranges.notNegative("importance of " + c.name(), c.importance());
        }
        for (Tenant t : setup.settings().tenants()) {
            ranges.notNegative("share of " + t.name(), t.share());
            if (t.share() > 1) {
                throw new SettingsException(place + ": share of " + t.name() + " must be 1 at most");
            }
        }
        ranges.positive("send_cap", setup.settings().limits().sendCap());
        ranges.positive("connect_timeout_us", setup.connectTimeoutUs());
        ranges.positive("conn_idle_us", setup.connIdleUs());
        return setup;
    }

    private void positive(String key, long value) {
        if (value < 1) {
            throw new SettingsException(place + ": " + key + " must be more than 0, and is " + value);
        }
    }

    private void notNegative(String key, double value) {
        if (!(value >= 0)) {
            throw new SettingsException(place + ": " + key + " must not be negative, and is " + value);
        }
    }
}
