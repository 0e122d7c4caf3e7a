package frostrelay.rig.client;

import frostrelay.rig.day.ClassSpec;

/**
 * A first try as it was planned. {@code at}: nanoseconds from the start; {@code work}: nanoseconds;
 * {@code patience}: the part of the deadline after which each try is given up.
 */
public record Planned(
        long number,
        long at,
        ClassSpec requestClass,
        String tenant,
        String key,
        long work,
        double patience) {}
