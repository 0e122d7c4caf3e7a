package frostrelay.node;

import frostrelay.node.cluster.ClusterOptions;
import frostrelay.node.config.ConfigException;
import frostrelay.node.log.LogSetup;
import frostrelay.node.time.Clock;

import org.slf4j.event.Level;

/**
 * Options that operators set in addition to the platform's configuration.
 *
 * @param logFormat the form of log lines
 * @param logLevel the least severe level that is logged
 * @param configPollNanos nanoseconds between two checks of the configuration file for a change; 0
 *     to poll only where SIGHUP is ignored
 * @param reportIntervalNanos nanoseconds between two reports of the counters
 * @param cluster how this balancer cooperates with its peers
 */
public record Options(
        LogSetup.Format logFormat,
        Level logLevel,
        long configPollNanos,
        long reportIntervalNanos,
        ClusterOptions cluster) {
    /** The default options, which apply on the platform. */
    public static final Options DEFAULTS =
            new Options(
                    LogSetup.Format.AUTO,
                    Level.INFO,
                    0,
                    10 * Clock.NANOS_PER_SECOND,
                    ClusterOptions.OFF);

    /**
     * Returns the defaults with the cluster options from the JVM's system properties.
     *
     * @throws ConfigException if a property has an invalid value
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
