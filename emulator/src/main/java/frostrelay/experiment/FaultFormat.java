package frostrelay.experiment;

import frostrelay.emulator.SystemModel;

import java.util.List;
import java.util.Locale;

/** Formatting of faults as sentences and as TOML. */
public final class FaultFormat {
    private static final double NANOS_PER_SECOND = 1e9;

    private FaultFormat() {}

    /** Returns a sentence for each fault, ordered by start time. */
    public static List<String> describe(List<SystemModel.Fault> faults) {
        return faults.stream()
                .sorted((a, b) -> Long.compare(a.startNanos(), b.startNanos()))
                .map(FaultFormat::sentence)
                .toList();
    }

    private static String sentence(SystemModel.Fault fault) {
        String affected = String.format(Locale.ROOT, "%.0f%% of", fault.machineFraction() * 100);
        String times = String.format(Locale.ROOT, "%.1f times", fault.factor());
        String effect =
                switch (fault.kind()) {
                    case CACHE_KILL -> affected + " the caches die with what they hold";
                    case CACHE_RESTART -> affected + " the caches start again, empty and cold";
                    case CACHE_SLOW -> affected + " the caches take " + times + " as long";
                    case CACHE_SILENT -> affected + " the caches fall silent: no answer, no error";
                    case CACHE_DRAIN -> affected + " the caches drain and start again";
                    case PARTITION ->
                            "half of the balancers lose sight of " + affected + " the caches";
                    case ORIGIN_OUTAGE -> "the origin carries nothing out";
                    case ORIGIN_SLOW -> "fetches take " + times + " as long";
                    case DISCOVERY_OUTAGE -> "discovery is out of reach";
                    case WRONG_ENTRIES ->
                            "discovery lists " + affected + " the caches as gone that are well";
                    case BALANCER_RESTART -> affected + " the balancers start again";
                    case SURGE -> "clients ask " + times + " as much";
                    case COPIES_RELEASED -> affected + " the caches lose all they keep";
                    case CACHE_REPLACE ->
                            affected
                                    + " the caches are replaced in "
                                    + fault.stepCount()
                                    + " steps";
                    case CACHE_FAILING -> affected + " the caches fail nine of ten requests";
                    case BALANCER_WAVE ->
                            affected
                                    + " the balancers are restarted in "
                                    + fault.stepCount()
                                    + " steps";
                    case ZONE_LOST ->
                            "a zone is lost (without zones "
                                    + affected
                                    + " the caches) and comes back cold";
                    case ZONE_CUT -> "a zone is cut off from the others";
                    case ZONE_SHIFT -> affected + " the clients come to one zone";
                    case ANSWERS_LOST -> affected + " the answers are lost";
                    case LINKS_RESET -> affected + " the requests have their connection reset";
                    case DISCOVERY_LATE -> "changes are told " + times + " as late";
                    case DISCOVERY_SHORT -> "calls take discovery " + times + " as long";
                    case CLIENTS_EAGER -> "clients come again at once, " + times + " as often";
                    case CLIENTS_HASTY -> "clients give up " + times + " as early";
                    case TENANT_SURGE -> "the first tenant asks " + times + " as much";
                    case HOLD -> affected + " the caches are held by operators, who restart them";
                };
        String start =
                String.format(Locale.ROOT, "at %.1f s ", fault.startNanos() / NANOS_PER_SECOND);
        return start
                + effect
                + (fault.durationNanos() == 0
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                ", for %.1f s",
                                fault.durationNanos() / NANOS_PER_SECOND));
    }

    /** Returns a fault as a TOML table of a system model file. */
    static String toToml(SystemModel.Fault fault) {
        return String.format(
                Locale.ROOT,
                "[[fault]]%nat = \"%dms\"%nkind = \"%s\"%nfor = \"%dms\"%npart = %s%nfactor = %s%n",
                fault.startNanos() / 1_000_000,
                SystemModelFile.tomlName(fault.kind()),
                fault.durationNanos() / 1_000_000,
                fault.machineFraction(),
                fault.factor());
    }

    /** Returns the start and end of each fault in seconds from the start of the run. */
    static List<List<Double>> timeRangesSeconds(List<SystemModel.Fault> faults) {
        return faults.stream()
                .map(
                        fault ->
                                List.of(
                                        fault.startNanos() / NANOS_PER_SECOND,
                                        (fault.startNanos() + fault.durationNanos())
                                                / NANOS_PER_SECOND))
                .toList();
    }
}
