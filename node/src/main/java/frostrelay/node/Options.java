package frostrelay.node;

import frostrelay.node.cluster.ClusterOptions;
import frostrelay.node.config.ConfigException;
import frostrelay.node.log.LogSetup;
import frostrelay.node.time.Clock;

import org.slf4j.event.Level;

/**
 * What operators set beyond the platform's configuration. {@code configPollNanos}: nanoseconds
 * between looks at the configuration file for a change, 0 to look only where the signal for it is
 * ignored; {@code counts}: nanoseconds between two lines of counts; {@code cluster}: what it has to
 * do with others of its tier.
 */
public record Options(
        LogSetup.Format logFormat,
        Level logLevel,
        long configPollNanos,
        long reportIntervalNanos,
        ClusterOptions cluster) {
    /** What holds where nothing is set: on the platform. */
    public static final Options DEFAULTS =
            new Options(
                    LogSetup.Format.AUTO,
                    Level.INFO,
                    0,
                    10 * Clock.NANOS_PER_SECOND,
                    ClusterOptions.OFF);

    /**
     * The standard with what the JVM's own properties ask for; throws {@link ConfigException} for
     * what they cannot.
     */
    public static Options fromSystemProperties() {
        return new Options(
                DEFAULTS.logFormat,
                DEFAULTS.logLevel,
                DEFAULTS.configPollNanos,
                DEFAULTS.reportIntervalNanos,
                ClusterOptions.of(System::getProperty));
    }
}
