package frostrelay.testbed.scenario;

/**
 * The load from clients. {@code requestsPerSecond}: requests per second without retries; {@code
 * keyCount}: number of keys, with popularity by {@code zipfExponent}; {@code maxRetries}: retries
 * per request, with a backoff of at least {@code minBackoffNanos}; an attempt times out after a
 * fraction of its class's deadline from {@code minPatience} to {@code maxPatience}. {@code
 * disconnectFraction}: fraction of attempts whose client closes the connection before that; {@code
 * splitWriteFraction}: fraction of attempts that are written in two parts with a pause between
 * them.
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
