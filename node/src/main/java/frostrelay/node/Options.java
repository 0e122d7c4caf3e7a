package frostrelay.node;

import frostrelay.log.LogSetup;

import org.slf4j.event.Level;

/**
 * What operators set beyond the platform's configuration. {@code look}: nanoseconds between looks
 * at the configuration file for a change, 0 to look only where the signal for it is ignored; {@code
 * counts}: nanoseconds between two lines of counts; {@code fleet}: what it has to do with others of
 * its tier.
 */
public record Options(
        LogSetup.Format logFormat, Level logLevel, long look, long counts, FleetOptions fleet) {
    /** What holds where nothing is set: on the platform. */
    public static final Options STANDARD =
            new Options(LogSetup.Format.AUTO, Level.INFO, 0, 10 * Clock.SECOND, FleetOptions.OFF);

    /**
     * The standard with what the JVM's own properties ask for; throws {@link ConfigException} for
     * what they cannot.
     */
    public static Options ofProperties() {
        return new Options(
                STANDARD.logFormat,
                STANDARD.logLevel,
                STANDARD.look,
                STANDARD.counts,
                FleetOptions.of(System::getProperty));
    }
}
