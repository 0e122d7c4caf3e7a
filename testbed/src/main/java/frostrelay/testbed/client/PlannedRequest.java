package frostrelay.testbed.client;

import frostrelay.testbed.scenario.ClassSpec;

/**
 * A first try as it was planned. {@code atNanos}: nanoseconds from the start; {@code workNanos}:
 * nanoseconds; {@code timeoutFraction}: the part of the deadline after which each try is given up.
 */
public record PlannedRequest(
        long number,
        long atNanos,
        ClassSpec requestClass,
        String tenant,
        String key,
        long workNanos,
        double timeoutFraction) {}
