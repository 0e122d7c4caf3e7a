package frostrelay.cli;

import frostrelay.rig.campaign.Campaign;
import frostrelay.rig.campaign.CampaignPlay;
import frostrelay.rig.campaign.Happening;
import frostrelay.rig.campaign.Matter;
import frostrelay.rig.campaign.Schedule;
import frostrelay.rig.campaign.ScheduleFile;
import frostrelay.rig.campaign.Violation;
import frostrelay.rig.fleet.Program;
import frostrelay.start.Defect;
import frostrelay.start.Start;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;

/** Real processes, faults between them, and checkers over what the stand-ins saw. */
@Command(
        name = "campaign",
        mixinStandardHelpOptions = true,
        description = {
            "Starts several balancers as processes, plays faults on them and between them, and holds what they say of themselves"
                    + " against what the stand-ins saw. Exits with 1 on a violation.",
            "docs/campaign.md says what is checked."
        })
final class CampaignCommand implements Callable<Integer> {
    /** What is added up over all plays, by its name here and among a play's figures. */
    private static final Map<String, String> SUMS = new LinkedHashMap<>();

    /** And times of which percentiles are told. */
    private static final Map<String, String> TIMES = new LinkedHashMap<>();

    static {
        for (String[] one :
                new String[][] {
                    {"commandsChecked", "commands"},
                    {"commandsBeyondTheRecord", "beyondTheRecord"},
                    {"knownLaterThan2s", "knownLate"},
                    {"staleSends", "staleSends"},
                    {"staleProvedSends", "staleProvedSends"},
                    {"sends", "sends"},
                    {"heldSends", "heldSends"},
                    {"sendsLaterThan500Ms", "lateSends"},
                    {"lost", "lost"},
                    {"retried", "retried"},
                    {"asked", "asked"},
                    {"servedInTime", "servedInTime"},
                    {"deaths", "deaths"},
                    {"loweredLate", "loweredLate"},
                    {"countsChecked", "countsChecked"},
                    {"countsThatCoverPart", "countsThatCoverPart"},
                    {"countsUnbounded", "countsUnbounded"},
                    {"bytesASecondEach", "bytesASecondEach"}
                }) {
            SUMS.put(one[0], one[1]);
        }
        TIMES.put("known", "knownAfterMs");
        TIMES.put("current", "currentAfterMs");
        TIMES.put("lowered", "loweredAfterMs");
        TIMES.put("countAge", "countAgesMs");
    }

    private static final long SECOND = 1_000_000_000L;

    @Spec private CommandSpec spec;

    @Mixin private Output output;

    @Parameters(
            arity = "0..*",
            paramLabel = "FILE",
            description =
                    "Schedules in TOML to play, or names of those in deploy/campaign/kept; without any they are drawn.")
    private List<Path> files = List.of();

    @Option(
            names = "--matter",
            paramLabel = "NAME",
            defaultValue = "audit",
            description = "What is checked (${DEFAULT-VALUE}).")
    private String matter;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            defaultValue = "1..4",
            converter = SeedRange.Converter.class,
            description = "Schedules drawn (${DEFAULT-VALUE}).")
    private SeedRange seeds;

    @Option(
            names = "--processes",
            paramLabel = "N",
            defaultValue = "5",
            description = "Balancers, 2 to 12 (${DEFAULT-VALUE}).")
    private int processes;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "12",
            description = "Of each play, 6 to 600 (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(
            names = "--at-once",
            paramLabel = "N",
            defaultValue = "1",
            description = "Plays side by side (${DEFAULT-VALUE}).")
    private int atOnce;

    @Option(
            names = "--defect",
            paramLabel = "NAME",
            description =
                    "Puts a seeded defect into one balancer: it has to"
                            + " be found; 'off' leaves the matter's own part off, to compare with.")
    private String defect;

    @Option(
            names = "--shrink",
            description = "Leaves happenings out of schedules that fail, as long as they fail.")
    private boolean shrink;

    @Option(
            names = "--keep",
            paramLabel = "DIR",
            description = "Where the files of all plays stay, and schedules that fail.")
    private Path keep;

    @Option(names = "--list", description = "Prints matters, faults and defects.")
    private boolean list;

    /** How the balancer is started for a campaign, from this program's own jar or class path. */
    static CampaignPlay.Launch launch() {
        return properties -> {
            List<String> command =
                    new ArrayList<>(
                            List.of(
                                    Program.java(),
                                    "-XX:+UseSerialGC",
                                    "-Xms32m",
                                    "-Xmx96m",
                                    "-XX:TieredStopAtLevel=1",
                                    "-XX:-UsePerfData",
                                    "-Xshare:auto",
                                    "-Djava.net.preferIPv4Stack=true"));
            command.addAll(properties);
            command.addAll(
                    List.of("-cp", System.getProperty("java.class.path"), Start.class.getName()));
            return command;
        };
    }

    @Override
    public Integer call() throws Exception {
        if (list) {
            output.result(listed(), listedText());
            return 0;
        }
        check(
                Matter.words().contains(matter),
                "--matter: found " + matter + ", allowed: " + Matter.words());
        check(
                processes >= 2 && processes <= 12,
                "--processes: found " + processes + ", allowed: 2 to 12");
        check(
                seconds >= 6 && seconds <= 600,
                "--seconds: found " + seconds + ", allowed: 6 to 600");
        check(atOnce >= 1 && atOnce <= 64, "--at-once: found " + atOnce + ", allowed: 1 to 64");
        check(
                defect == null
                        || defect.equals(CampaignPlay.OFF)
                        || Defect.words().contains(defect),
                "--defect: found " + defect + ", allowed: " + Defect.words());
        List<Schedule> schedules = schedules();
        for (Schedule one : schedules) {
            // Records of two plays in one folder would be taken for one play's.
            check(
                    keep == null || !Files.exists(keep.resolve(one.name())),
                    "--keep: "
                            + keep
                            + " has a play of "
                            + one.name()
                            + " already, allowed: another folder");
        }
        Path folder = keep != null ? keep : Checkout.folder();
        Files.createDirectories(folder);
        Campaign campaign =
                new Campaign(
                        Matter.of(matter),
                        folder,
                        keep != null,
                        launch(),
                        defect,
                        output::progress);
        List<CampaignPlay.Outcome> outcomes = campaign.play(schedules, atOnce);
        if (shrink) {
            for (CampaignPlay.Outcome outcome : outcomes) {
                if (!outcome.violations().isEmpty()) {
                    Files.writeString(
                            folder.resolve(outcome.schedule().name() + ".toml"),
                            campaign.shrink(outcome.schedule()).toml());
                }
            }
        }
        boolean good = outcomes.stream().allMatch(outcome -> outcome.violations().isEmpty());
        output.result(json(outcomes), text(outcomes, folder, good));
        if (good && keep == null) {
            Checkout.remove(folder);
        }
        return good ? 0 : 1;
    }

    private void check(boolean good, String otherwise) {
        if (!good) {
            throw new CommandLine.ParameterException(spec.commandLine(), otherwise);
        }
    }

    /** A file as it is named, or one that is kept in the checkout, by its name alone. */
    private static Path found(Path file) {
        Path kept = Path.of("deploy/campaign/kept").resolve(file + ".toml");
        return Files.exists(file)
                        || file.getNameCount() > 1
                        || !Files.exists(Checkout.root().resolve(kept))
                ? file
                : Checkout.root().resolve(kept);
    }

    private List<Schedule> schedules() {
        List<Schedule> schedules = new ArrayList<>();
        if (!files.isEmpty()) {
            files.forEach(file -> schedules.add(ScheduleFile.read(found(file))));
            return schedules;
        }
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            schedules.add(Matter.of(matter).drawn(seed, processes, (long) (seconds * SECOND)));
        }
        return schedules;
    }

    private static Map<String, Object> json(List<CampaignPlay.Outcome> outcomes) {
        Map<String, Object> all = new LinkedHashMap<>();
        Map<String, Integer> faults = new TreeMap<>();
        List<Object> violations = new ArrayList<>();
        Map<String, Long> sums = new LinkedHashMap<>();
        Map<String, List<Long>> times = new LinkedHashMap<>();
        double mostLost = 0;
        long aside = 0;
        for (CampaignPlay.Outcome outcome : outcomes) {
            Map<String, Object> figures = outcome.figures();
            outcome.schedule()
                    .happenings()
                    .forEach(one -> faults.merge(one.kind().word(), 1, Integer::sum));
            for (Violation violation : outcome.violations()) {
                violations.add(
                        Map.of(
                                "schedule",
                                outcome.schedule().name(),
                                "check",
                                violation.check(),
                                "what",
                                violation.what()));
            }
            SUMS.forEach(
                    (name, figure) ->
                            sums.merge(
                                    name,
                                    ((Number) figures.getOrDefault(figure, 0)).longValue(),
                                    Long::sum));
            TIMES.forEach(
                    (name, figure) ->
                            ((List<?>) figures.getOrDefault(figure, List.of()))
                                    .forEach(
                                            ms ->
                                                    times.computeIfAbsent(
                                                                    name,
                                                                    empty -> new ArrayList<>())
                                                            .add(((Number) ms).longValue())));
            aside = Math.max(aside, ((Number) figures.getOrDefault("mostAside", 0)).longValue());
            mostLost =
                    Math.max(
                            mostLost,
                            ((Number) figures.getOrDefault("mostLostOfAHealthyCache", 0))
                                    .doubleValue());
        }
        all.put("played", outcomes.size());
        all.put(
                "failed",
                outcomes.stream().filter(outcome -> !outcome.violations().isEmpty()).count());
        all.put("faults", faults);
        all.putAll(sums);
        all.put(
                "bytesASecondEach",
                outcomes.isEmpty() ? 0 : sums.get("bytesASecondEach") / outcomes.size());
        TIMES.forEach(
                (name, figure) -> {
                    List<Long> sorted =
                            times.getOrDefault(name, List.of()).stream().sorted().toList();
                    all.put(name + "Seen", sorted.size());
                    all.put(name + "P50Ms", part(sorted, 50));
                    all.put(name + "P99Ms", part(sorted, 99));
                    all.put(name + "MaxMs", part(sorted, 100));
                });
        all.put("mostAside", aside);
        all.put("mostLostOfAHealthyCache", mostLost);
        all.put("violations", violations);
        return all;
    }

    /** A percentile of what is sorted; null of nothing. */
    private static Long part(List<Long> sorted, int percent) {
        return sorted.isEmpty()
                ? null
                : sorted.get(Math.min(sorted.size() - 1, sorted.size() * percent / 100));
    }

    private static String text(List<CampaignPlay.Outcome> outcomes, Path folder, boolean good) {
        StringBuilder text = new StringBuilder();
        Map<String, Object> all = json(outcomes);
        all.forEach(
                (name, value) -> {
                    if (!name.equals("violations")) {
                        text.append(name).append(": ").append(value).append(System.lineSeparator());
                    }
                });
        for (CampaignPlay.Outcome outcome : outcomes) {
            for (Violation violation : outcome.violations()) {
                text.append(outcome.schedule().name())
                        .append(": ")
                        .append(violation.check())
                        .append(": ")
                        .append(violation.what())
                        .append(System.lineSeparator());
            }
        }
        return text.append(good ? "kept" : "violated; files of the plays: " + folder).toString();
    }

    private static Map<String, Object> listed() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("matters", Matter.words());
        all.put("faults", Happening.Kind.words());
        all.put("defects", Defect.words());
        return all;
    }

    private static String listedText() {
        StringBuilder text = new StringBuilder("matters\n");
        for (Matter one : Matter.values()) {
            text.append(String.format("  %-18s %s%n", one.word(), one.meaning));
        }
        text.append("faults\n");
        for (Happening.Kind kind : Happening.Kind.values()) {
            text.append(String.format("  %-16s %s%n", kind.word(), kind.meaning));
        }
        text.append("defects\n");
        for (Defect one : Defect.values()) {
            text.append(String.format("  %-18s %s%n", one.word(), one.meaning));
        }
        return text.toString().stripTrailing();
    }
}
