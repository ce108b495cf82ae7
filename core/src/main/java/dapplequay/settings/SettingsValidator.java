package dapplequay.settings;

import dapplequay.BalancerApi.ServiceClass;
import dapplequay.BalancerApi.Tenant;
import dapplequay.settings.SettingsReader.Setup;

/** Checks that the settings of the operators' file are within their ranges. Messages use the keys of that file. */
public final class SettingsValidator {
    private final String source;

    private SettingsValidator(String source) {
        this.source = source;
    }

    /**
     * Returns the same settings.
     *
     * @param source the prefix of error messages, such as the name of the file
     * @throws SettingsException if a value is out of range
     */
    public static Setup validated(Setup setup, String source) {
        SettingsValidator validator = new SettingsValidator(source);
        if (setup.settings().classes().isEmpty()) {
            throw new SettingsException(source + ": services names no classes");
        }
        for (ServiceClass serviceClass : setup.settings().classes()) {
            validator.requirePositive("aim_us of " + serviceClass.name(), serviceClass.aimUs());
            validator.requirePositive("deadline_us of " + serviceClass.name(), serviceClass.deadlineUs());
            validator.requireNotNegative("window_us of " + serviceClass.name(), serviceClass.windowUs());
            validator.requireNotNegative("importance of " + serviceClass.name(), serviceClass.importance());
        }
        for (Tenant tenant : setup.settings().tenants()) {
            validator.requireNotNegative("share of " + tenant.name(), tenant.share());
            if (tenant.share() > 1) {
                throw new SettingsException(source + ": share of " + tenant.name() + " must be 1 at most");
            }
        }
        validator.requirePositive("send_cap", setup.settings().limits().sendCap());
        validator.requirePositive("connect_timeout_us", setup.connectTimeoutUs());
        validator.requirePositive("conn_idle_us", setup.connIdleUs());
        return setup;
    }

    private void requirePositive(String key, long value) {
        if (value < 1) {
            throw new SettingsException(source + ": " + key + " must be more than 0, and is " + value);
        }
    }

    private void requireNotNegative(String key, double value) {
        if (!(value >= 0)) {
            throw new SettingsException(source + ": " + key + " must not be negative, and is " + value);
        }
    }
}
