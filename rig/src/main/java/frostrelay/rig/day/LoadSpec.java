package frostrelay.rig.day;

/**
 * What clients do. {@code rate}: first tries a second; {@code keys} with Zipf exponent {@code zipf}; {@code retries}
 * after {@code backoff} nanoseconds and more; a try is given up after {@code patienceLeast} to {@code patienceMost} of
 * its class's deadline.
 */
public record LoadSpec(double rate, int keys, double zipf, int retries, long backoff, double patienceLeast,
                       double patienceMost) {
}
