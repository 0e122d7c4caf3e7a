package frostrelay.cli;

import frostrelay.emulator.Plant;
import frostrelay.policy.Api;
import frostrelay.rig.day.ClassSpec;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.FaultKind;
import frostrelay.rig.day.FaultSpec;
import frostrelay.rig.day.Targets;
import frostrelay.rig.referee.Referee;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A day for sockets as a plant for the emulator: the same machines, load and faults, as far as both
 * know them.
 */
final class DayPlant {
    /**
     * Loopback and an event loop's turn, one way; and what the real balancer takes for an event.
     */
    private static final long DELAY = 100_000L;

    private static final long COST = 50_000L;

    /** Stand-ins ask no work for a handshake, and loopback no time. */
    private static final Plant.Links NO_LINKS = new Plant.Links(false, 0, 0, 1, 1, 1, 1);

    private static final Map<FaultKind, Plant.Kind> KINDS =
            Map.of(
                    FaultKind.KILL,
                    Plant.Kind.CACHE_KILL,
                    FaultKind.SLOW,
                    Plant.Kind.CACHE_SLOW,
                    FaultKind.SILENCE,
                    Plant.Kind.CACHE_SILENT,
                    FaultKind.ARCHIVE_OUTAGE,
                    Plant.Kind.ORIGIN_OUTAGE,
                    FaultKind.ARCHIVE_SLOW,
                    Plant.Kind.ORIGIN_SLOW,
                    FaultKind.DISCOVERY_OUTAGE,
                    Plant.Kind.DISCOVERY_OUTAGE,
                    FaultKind.SURGE,
                    Plant.Kind.SURGE);

    private DayPlant() {}

    /** Throws {@link IllegalArgumentException} that names what the emulator does not have. */
    static Plant of(Day day) {
        List<String> unknown = new ArrayList<>();
        if (day.cache().slots() != day.cache().cores()) {
            unknown.add("slots other than cores");
        }
        List<Plant.Load> classes = new ArrayList<>();
        for (ClassSpec one : day.classes()) {
            if (one.workLeast() != one.workMost()) {
                unknown.add("class " + one.name() + ": work-least other than work-most");
            }
            classes.add(
                    new Plant.Load(
                            one.share(),
                            one.workLeast(),
                            Plant.Spread.FIXED,
                            one.aim(),
                            one.deadline(),
                            one.worth(),
                            effect(one.effect())));
        }
        List<Plant.Fault> faults = new ArrayList<>();
        for (FaultSpec fault : day.faults()) {
            Plant.Kind kind = KINDS.get(fault.kind());
            if (kind == null) {
                unknown.add("fault " + fault.kind().word);
            } else {
                faults.add(
                        new Plant.Fault(
                                fault.at(),
                                fault.length(),
                                kind,
                                Targets.count(fault.target(), "cache", day.caches())
                                        / (double) day.caches(),
                                fault.factor()));
            }
        }
        if (!unknown.isEmpty()) {
            throw new IllegalArgumentException(
                    "the emulator does not have: " + String.join("; ", unknown));
        }
        return new Plant(
                day.seed(),
                0,
                day.length(),
                day.balancers(),
                day.caches(),
                1,
                new Plant.Cache(
                        day.cache().cores(),
                        day.cache().queue(),
                        0,
                        (int) Math.max(1, day.cache().memory() / day.archive().value()),
                        Plant.Eviction.LRU,
                        day.cache().warmth().from(),
                        day.cache().warmth().within(),
                        day.cache().coalesce(),
                        false),
                new Plant.Origin(
                        day.archive().places(),
                        day.archive().time(),
                        day.archive().queue(),
                        day.archive().fallMultiple(),
                        day.archive().fallTime()),
                new Plant.Network(DELAY, DELAY, 0, 0),
                NO_LINKS,
                new Plant.Clients(
                        day.load().rate(),
                        0,
                        1_000_000_000L,
                        0,
                        day.load().keys(),
                        day.load().zipf(),
                        0,
                        day.load().retries(),
                        day.load().backoff(),
                        (day.load().patienceLeast() + day.load().patienceMost()) / 2,
                        true,
                        0),
                new Plant.Balancer(COST, 4, true),
                new Plant.Discovery(day.lateness(), 0, 0),
                List.of(),
                classes,
                faults);
    }

    private static Api.Effect effect(Referee.Effect effect) {
        return switch (effect) {
            case REPEATABLE -> Api.Effect.RETRYABLE;
            case KEYED -> Api.Effect.DEDUP;
            case NEVER_TWICE -> Api.Effect.FRAGILE;
        };
    }
}
