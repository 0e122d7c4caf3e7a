package frostrelay.rig.day;

/**
 * What clients do. {@code rate}: first tries a second; {@code keys} with Zipf exponent {@code
 * zipf}; {@code retries} after {@code backoff} nanoseconds and more; a try is given up after {@code
 * patienceLeast} to {@code patienceMost} of its class's deadline. Of all tries {@code leaves} is
 * the part whose client closes its connection before that, and {@code slow} the part that is
 * written in two pieces some time apart.
 */
public record LoadSpec(
        double rate,
        int keys,
        double zipf,
        int retries,
        long backoff,
        double patienceLeast,
        double patienceMost,
        double leaves,
        double slow) {}
