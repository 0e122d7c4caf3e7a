package frostrelay.testbed.scenario;

/**
 * What clients do. {@code requestsPerSecond}: first tries a second; {@code keyCount} with Zipf
 * exponent {@code zipf}; {@code maxRetries} after {@code minBackoffNanos} nanoseconds and more; a
 * try is given up after {@code patienceLeast} to {@code maxPatience} of its class's deadline. Of
 * all tries {@code disconnectFraction} is the part whose client closes its connection before that,
 * and {@code splitWriteFraction} the part that is written in two pieces some time apart.
 */
public record LoadSpec(
        double requestsPerSecond,
        int keyCount,
        double zipfExponent,
        int maxRetries,
        long minBackoffNanos,
        double minPatience,
        double maxPatience,
        double disconnectFraction,
        double splitWriteFraction) {}
