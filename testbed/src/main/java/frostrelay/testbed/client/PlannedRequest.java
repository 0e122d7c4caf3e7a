package frostrelay.testbed.client;

import frostrelay.testbed.scenario.ClassSpec;

/**
 * A request of the plan. {@code atNanos}: nanoseconds from the start; {@code workNanos}:
 * nanoseconds; {@code timeoutFraction}: the fraction of the deadline after which each attempt times
 * out.
 */
public record PlannedRequest(
        long number,
        long atNanos,
        ClassSpec requestClass,
        String tenant,
        String key,
        long workNanos,
        double timeoutFraction) {}
