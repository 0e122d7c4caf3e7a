package frostrelay.cli;

import frostrelay.defects.SeededDefect;
import frostrelay.defects.Start;
import frostrelay.testbed.campaign.Campaign;
import frostrelay.testbed.campaign.CampaignRun;
import frostrelay.testbed.campaign.CampaignSubject;
import frostrelay.testbed.campaign.FaultEvent;
import frostrelay.testbed.campaign.Schedule;
import frostrelay.testbed.campaign.ScheduleFile;
import frostrelay.testbed.campaign.Violation;
import frostrelay.testbed.fleet.BalancerCommand;

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
    private static final Map<String, String> SUMMED_FIGURES = new LinkedHashMap<>();

    /** And times of which percentiles are told. */
    private static final Map<String, String> TIMING_FIGURES = new LinkedHashMap<>();

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
            SUMMED_FIGURES.put(one[0], one[1]);
        }
        TIMING_FIGURES.put("known", "knownAfterMs");
        TIMING_FIGURES.put("current", "currentAfterMs");
        TIMING_FIGURES.put("lowered", "loweredAfterMs");
        TIMING_FIGURES.put("countAge", "countAgesMs");
    }

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

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
    private String subject;

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
    private int parallelism;

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
    private Path keepFolder;

    @Option(names = "--list", description = "Prints matters, faults and defects.")
    private boolean list;

    /** How the balancer is started for a campaign, from this program's own jar or class path. */
    static CampaignRun.Launch launch() {
        return properties -> {
            List<String> command =
                    new ArrayList<>(
                            List.of(
                                    BalancerCommand.javaExecutable(),
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
            output.result(listing(), listingText());
            return 0;
        }
        requireValid(
                CampaignSubject.keywords().contains(subject),
                "--matter: found " + subject + ", allowed: " + CampaignSubject.keywords());
        requireValid(
                processes >= 2 && processes <= 12,
                "--processes: found " + processes + ", allowed: 2 to 12");
        requireValid(
                seconds >= 6 && seconds <= 600,
                "--seconds: found " + seconds + ", allowed: 6 to 600");
        requireValid(
                parallelism >= 1 && parallelism <= 64,
                "--at-once: found " + parallelism + ", allowed: 1 to 64");
        requireValid(
                defect == null
                        || defect.equals(CampaignRun.OFF)
                        || SeededDefect.labels().contains(defect),
                "--defect: found " + defect + ", allowed: " + SeededDefect.labels());
        List<Schedule> schedules = schedules();
        for (Schedule one : schedules) {
            // Records of two plays in one folder would be taken for one play's.
            requireValid(
                    keepFolder == null || !Files.exists(keepFolder.resolve(one.name())),
                    "--keep: "
                            + keepFolder
                            + " has a play of "
                            + one.name()
                            + " already, allowed: another folder");
        }
        Path folder = keepFolder != null ? keepFolder : Checkout.folder();
        Files.createDirectories(folder);
        Campaign campaign =
                new Campaign(
                        CampaignSubject.of(subject),
                        folder,
                        keepFolder != null,
                        launch(),
                        defect,
                        output::progress);
        List<CampaignRun.Outcome> outcomes = campaign.run(schedules, parallelism);
        if (shrink) {
            for (CampaignRun.Outcome outcome : outcomes) {
                if (!outcome.violations().isEmpty()) {
                    Files.writeString(
                            folder.resolve(outcome.schedule().name() + ".toml"),
                            campaign.shrink(outcome.schedule()).toml());
                }
            }
        }
        boolean good = outcomes.stream().allMatch(outcome -> outcome.violations().isEmpty());
        output.result(json(outcomes), text(outcomes, folder, good));
        if (good && keepFolder == null) {
            Checkout.remove(folder);
        }
        return good ? 0 : 1;
    }

    private void requireValid(boolean valid, String message) {
        if (!valid) {
            throw new CommandLine.ParameterException(spec.commandLine(), message);
        }
    }

    /** A file as it is named, or one that is kept in the checkout, by its name alone. */
    private static Path resolve(Path file) {
        Path keptSchedule = Path.of("deploy/campaign/kept").resolve(file + ".toml");
        return Files.exists(file)
                        || file.getNameCount() > 1
                        || !Files.exists(Checkout.root().resolve(keptSchedule))
                ? file
                : Checkout.root().resolve(keptSchedule);
    }

    private List<Schedule> schedules() {
        List<Schedule> schedules = new ArrayList<>();
        if (!files.isEmpty()) {
            files.forEach(file -> schedules.add(ScheduleFile.read(resolve(file))));
            return schedules;
        }
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            schedules.add(
                    CampaignSubject.of(subject)
                            .generateSchedule(
                                    seed, processes, (long) (seconds * NANOS_PER_SECOND)));
        }
        return schedules;
    }

    private static Map<String, Object> json(List<CampaignRun.Outcome> outcomes) {
        Map<String, Object> all = new LinkedHashMap<>();
        Map<String, Integer> faults = new TreeMap<>();
        List<Object> violations = new ArrayList<>();
        Map<String, Long> sums = new LinkedHashMap<>();
        Map<String, List<Long>> times = new LinkedHashMap<>();
        double maxLost = 0;
        long maxWithdrawn = 0;
        for (CampaignRun.Outcome outcome : outcomes) {
            Map<String, Object> figures = outcome.figures();
            outcome.schedule()
                    .events()
                    .forEach(one -> faults.merge(one.kind().keyword(), 1, Integer::sum));
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
            SUMMED_FIGURES.forEach(
                    (name, figure) ->
                            sums.merge(
                                    name,
                                    ((Number) figures.getOrDefault(figure, 0)).longValue(),
                                    Long::sum));
            TIMING_FIGURES.forEach(
                    (name, figure) ->
                            ((List<?>) figures.getOrDefault(figure, List.of()))
                                    .forEach(
                                            ms ->
                                                    times.computeIfAbsent(
                                                                    name,
                                                                    empty -> new ArrayList<>())
                                                            .add(((Number) ms).longValue())));
            maxWithdrawn =
                    Math.max(
                            maxWithdrawn,
                            ((Number) figures.getOrDefault("mostAside", 0)).longValue());
            maxLost =
                    Math.max(
                            maxLost,
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
        TIMING_FIGURES.forEach(
                (name, figure) -> {
                    List<Long> sorted =
                            times.getOrDefault(name, List.of()).stream().sorted().toList();
                    all.put(name + "Seen", sorted.size());
                    all.put(name + "P50Ms", percentile(sorted, 50));
                    all.put(name + "P99Ms", percentile(sorted, 99));
                    all.put(name + "MaxMs", percentile(sorted, 100));
                });
        all.put("mostAside", maxWithdrawn);
        all.put("mostLostOfAHealthyCache", maxLost);
        all.put("violations", violations);
        return all;
    }

    /** A percentile of what is sorted; null of nothing. */
    private static Long percentile(List<Long> sorted, int percent) {
        return sorted.isEmpty()
                ? null
                : sorted.get(Math.min(sorted.size() - 1, sorted.size() * percent / 100));
    }

    private static String text(List<CampaignRun.Outcome> outcomes, Path folder, boolean good) {
        StringBuilder text = new StringBuilder();
        Map<String, Object> all = json(outcomes);
        all.forEach(
                (name, value) -> {
                    if (!name.equals("violations")) {
                        text.append(name).append(": ").append(value).append(System.lineSeparator());
                    }
                });
        for (CampaignRun.Outcome outcome : outcomes) {
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

    private static Map<String, Object> listing() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("matters", CampaignSubject.keywords());
        all.put("faults", FaultEvent.Kind.keywords());
        all.put("defects", SeededDefect.labels());
        return all;
    }

    private static String listingText() {
        StringBuilder text = new StringBuilder("matters\n");
        for (CampaignSubject one : CampaignSubject.values()) {
            text.append(String.format("  %-18s %s%n", one.keyword(), one.meaning));
        }
        text.append("faults\n");
        for (FaultEvent.Kind kind : FaultEvent.Kind.values()) {
            text.append(String.format("  %-16s %s%n", kind.keyword(), kind.meaning));
        }
        text.append("defects\n");
        for (SeededDefect one : SeededDefect.values()) {
            text.append(String.format("  %-18s %s%n", one.label(), one.meaning));
        }
        return text.toString().stripTrailing();
    }
}
