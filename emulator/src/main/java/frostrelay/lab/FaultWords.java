package frostrelay.lab;

import frostrelay.emulator.Plant;

import java.util.List;
import java.util.Locale;

/** Faults in words, and as a file has them. */
public final class FaultWords {
    private static final double SECOND = 1e9;

    private FaultWords() {}

    /** Each fault in a sentence, in the order of time. */
    public static List<String> of(List<Plant.Fault> faults) {
        return faults.stream()
                .sorted((a, b) -> Long.compare(a.at(), b.at()))
                .map(FaultWords::sentence)
                .toList();
    }

    private static String sentence(Plant.Fault fault) {
        String part = String.format(Locale.ROOT, "%.0f%% of", fault.part() * 100);
        String times = String.format(Locale.ROOT, "%.1f times", fault.factor());
        String what =
                switch (fault.kind()) {
                    case CACHE_KILL -> part + " the caches die with what they hold";
                    case CACHE_RESTART -> part + " the caches start again, empty and cold";
                    case CACHE_SLOW -> part + " the caches take " + times + " as long";
                    case CACHE_SILENT -> part + " the caches fall silent: no answer, no error";
                    case CACHE_DRAIN -> part + " the caches drain and start again";
                    case PARTITION -> "half of the balancers lose sight of " + part + " the caches";
                    case ORIGIN_OUTAGE -> "the origin carries nothing out";
                    case ORIGIN_SLOW -> "fetches take " + times + " as long";
                    case DISCOVERY_OUTAGE -> "discovery is out of reach";
                    case WRONG_ENTRIES ->
                            "discovery lists " + part + " the caches as gone that are well";
                    case BALANCER_RESTART -> part + " the balancers start again";
                    case SURGE -> "clients ask " + times + " as much";
                    case COPIES_RELEASED -> part + " the caches lose all they keep";
                    case CACHE_REPLACE ->
                            part + " the caches are replaced in " + fault.steps() + " steps";
                    case CACHE_FAILING -> part + " the caches fail nine of ten requests";
                    case BALANCER_WAVE ->
                            part + " the balancers are restarted in " + fault.steps() + " steps";
                    case ZONE_LOST ->
                            "a zone is lost (without zones "
                                    + part
                                    + " the caches) and comes back cold";
                    case ZONE_CUT -> "a zone is cut off from the others";
                    case ZONE_SHIFT -> part + " the clients come to one zone";
                    case ANSWERS_LOST -> part + " the answers are lost";
                    case LINKS_RESET -> part + " the requests have their connection reset";
                    case DISCOVERY_LATE -> "changes are told " + times + " as late";
                    case DISCOVERY_SHORT -> "calls take discovery " + times + " as long";
                    case CLIENTS_EAGER -> "clients come again at once, " + times + " as often";
                    case CLIENTS_HASTY -> "clients give up " + times + " as early";
                    case TENANT_SURGE -> "the first tenant asks " + times + " as much";
                    case HOLD -> part + " the caches are held by operators, who restart them";
                };
        String at = String.format(Locale.ROOT, "at %.1f s ", fault.at() / SECOND);
        return at
                + what
                + (fault.length() == 0
                        ? ""
                        : String.format(Locale.ROOT, ", for %.1f s", fault.length() / SECOND));
    }

    /** A fault as a table of a plant's file. */
    static String toml(Plant.Fault fault) {
        return String.format(
                Locale.ROOT,
                "[[fault]]%nat = \"%dms\"%nkind = \"%s\"%nfor = \"%dms\"%npart = %s%nfactor = %s%n",
                fault.at() / 1_000_000,
                PlantFile.word(fault.kind()),
                fault.length() / 1_000_000,
                fault.part(),
                fault.factor());
    }

    /** From and to of each fault, in seconds of the day. */
    static List<List<Double>> spans(List<Plant.Fault> faults) {
        return faults.stream()
                .map(fault -> List.of(fault.at() / SECOND, (fault.at() + fault.length()) / SECOND))
                .toList();
    }
}
