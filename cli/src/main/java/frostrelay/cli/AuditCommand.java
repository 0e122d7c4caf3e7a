package frostrelay.cli;

import frostrelay.audit.fleet.AuditedVersionKind;
import frostrelay.audit.fleet.FleetAudit;
import frostrelay.audit.fleet.IncarnationHistory;
import frostrelay.audit.store.CollectedRecords;
import frostrelay.report.AuditPicture;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

/** What balancers' records say together. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = {
            "Who acted on which version: reads the records of balancers that live (their consoles) or are dead (their folders).",
            "docs/audit.md says how to read what it says."
        },
        subcommands = {
            AuditCommand.Collect.class,
            AuditCommand.Who.class,
            AuditCommand.Drift.class,
            AuditCommand.Verify.class
        },
        synopsisSubcommandLabel = "COMMAND")
final class AuditCommand implements Runnable {
    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Where records are read from. */
    static final class Sources {
        private static final Duration TIMEOUT = Duration.ofSeconds(3);

        @Spec(Spec.Target.MIXEE)
        private CommandSpec spec;

        @Option(
                names = "--from",
                required = true,
                arity = "1..*",
                paramLabel = "SOURCE",
                description =
                        "A console (ADDRESS:PORT) or a folder with records, its subfolders included.")
        private List<String> sources;

        /** What could not be read, in words. */
        private final List<String> complaints = new ArrayList<>();

        private byte[] fetchRecord(String address) {
            try {
                HttpResponse<byte[]> response =
                        HttpClient.newBuilder()
                                .connectTimeout(TIMEOUT)
                                .build()
                                .send(
                                        HttpRequest.newBuilder(
                                                        URI.create(
                                                                "http://"
                                                                        + address
                                                                        + "/ops/audit/record"))
                                                .timeout(TIMEOUT)
                                                .build(),
                                        HttpResponse.BodyHandlers.ofByteArray());
                if (response.statusCode() == 200) {
                    return response.body();
                }
                complaints.add(
                        address + " answers " + response.statusCode() + ": it keeps no account");
            } catch (IOException | IllegalArgumentException e) {
                complaints.add(address + " cannot be asked: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return null;
        }

        private static boolean isAddress(String source) {
            return source.matches("[^/]+:\\d{1,5}") && !Files.exists(Path.of(source));
        }

        /** All lives that can be read; where two sources have one life, the fuller one counts. */
        List<IncarnationHistory> histories() throws IOException {
            List<IncarnationHistory> found = new ArrayList<>();
            for (String source : sources) {
                if (isAddress(source)) {
                    byte[] record = fetchRecord(source);
                    IncarnationHistory history =
                            record == null ? null : CollectedRecords.history(source, record);
                    if (history != null) {
                        found.add(history);
                    }
                } else if (Files.isDirectory(Path.of(source))) {
                    found.addAll(CollectedRecords.histories(Path.of(source), complaints));
                } else {
                    throw new CommandLine.ParameterException(
                            spec.commandLine(), "no console and no folder: " + source);
                }
            }
            Map<String, IncarnationHistory> byLabel = new LinkedHashMap<>();
            for (IncarnationHistory history : found) {
                byLabel.merge(
                        history.label(),
                        history,
                        (a, b) ->
                                a.beginningLost() != b.beginningLost()
                                        ? a.beginningLost() ? b : a
                                        : a.entries().size() >= b.entries().size() ? a : b);
            }
            return List.copyOf(byLabel.values());
        }
    }

    private static AuditedVersionKind parseKind(CommandSpec spec, String label) {
        return Arrays.stream(AuditedVersionKind.values())
                .filter(kind -> kind.label().equals(label))
                .findFirst()
                .orElseThrow(
                        () ->
                                new CommandLine.ParameterException(
                                        spec.commandLine(),
                                        "found "
                                                + label
                                                + ", allowed: config, list, holds, build"));
    }

    private static String indentedLines(List<?> all) {
        StringBuilder text = new StringBuilder();
        all.forEach(one -> text.append("  ").append(one).append(System.lineSeparator()));
        return text.toString();
    }

    /** Copies records into a folder. */
    @Command(
            name = "collect",
            mixinStandardHelpOptions = true,
            description =
                    "Copies the records of consoles into a folder,"
                            + " so that they outlast their balancers.")
    static final class Collect implements Callable<Integer> {
        @Mixin private Output output;

        @Mixin private Sources sources;

        @Parameters(paramLabel = "DIR")
        private Path target;

        @Override
        public Integer call() throws IOException {
            int copied = 0;
            for (String source : sources.sources) {
                byte[] record = Sources.isAddress(source) ? sources.fetchRecord(source) : null;
                IncarnationHistory history =
                        record == null ? null : CollectedRecords.history(source, record);
                if (history != null) {
                    Path folder = target.resolve(history.name());
                    Files.createDirectories(folder);
                    Files.write(
                            folder.resolve(
                                    String.format(
                                            Locale.ROOT,
                                            "%016x-000000.rec",
                                            history.start().incarnation())),
                            record);
                    copied++;
                }
            }
            output.result(
                    Map.of("copied", copied, "complaints", sources.complaints),
                    "copied "
                            + copied
                            + " records into "
                            + target
                            + System.lineSeparator()
                            + indentedLines(sources.complaints));
            return sources.complaints.isEmpty() ? 0 : 1;
        }
    }

    /** Who acted on a version. */
    @Command(
            name = "who",
            mixinStandardHelpOptions = true,
            description =
                    "Who acted on a version, from when to when, and" + " what was sent under it.")
    static final class Who implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Mixin private Output output;

        @Mixin private Sources sources;

        @Parameters(index = "0", paramLabel = "KIND", description = "config, list, holds or build.")
        private String kind;

        @Parameters(
                index = "1",
                paramLabel = "VERSION",
                description =
                        "Its number, its digest or the beginning of that, or" + " NUMBER:DIGEST.")
        private String version;

        @Override
        public Integer call() throws IOException {
            FleetAudit statement = new FleetAudit(sources.histories());
            List<Map<String, Object>> who =
                    statement.applicationsOf(parseKind(spec, kind), version);
            output.result(
                    Map.of("who", who, "complaints", sources.complaints),
                    indentedLines(who)
                            + indentedLines(sources.complaints)
                            + who.size()
                            + " spans; milliseconds from the first start, [earliest, latest]");
            return who.isEmpty() ? 1 : 0;
        }
    }

    /** How far balancers were apart. */
    @Command(
            name = "drift",
            mixinStandardHelpOptions = true,
            description =
                    "For each version, when each balancer came to act"
                            + " on it and how far that was behind the first; conflicts; what was sent to caches behind a known drain.")
    static final class Drift implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Mixin private Output output;

        @Mixin private Sources sources;

        @Parameters(
                index = "0",
                arity = "0..1",
                paramLabel = "KIND",
                defaultValue = "config",
                description = "config, list, holds or build (${DEFAULT-VALUE}).")
        private String kind;

        @Option(
                names = "--picture",
                paramLabel = "FILE",
                description = "Writes an HTML page with a picture of it.")
        private Path picture;

        @Override
        public Integer call() throws IOException {
            FleetAudit statement = new FleetAudit(sources.histories());
            AuditedVersionKind auditedKind = parseKind(spec, kind);
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("drift", statement.drift(auditedKind));
            all.put("conflicts", statement.conflicts());
            all.put("afterDrain", statement.sendsAfterDrain());
            all.put("complaints", sources.complaints);
            StringBuilder text = new StringBuilder();
            for (Map<String, Object> version : statement.drift(auditedKind)) {
                text.append(version.get("version"))
                        .append(" from ")
                        .append(version.get("first"))
                        .append(System.lineSeparator())
                        .append(indentedLines((List<?>) version.get("balancers")));
            }
            text.append("conflicts")
                    .append(System.lineSeparator())
                    .append(indentedLines(statement.conflicts()))
                    .append("sent behind a known drain")
                    .append(System.lineSeparator())
                    .append(indentedLines(statement.sendsAfterDrain()))
                    .append(indentedLines(sources.complaints));
            if (picture != null) {
                Files.writeString(
                        picture,
                        new AuditPicture("Who acted on which " + kind, statement.spans(auditedKind))
                                .html());
            }
            output.result(all, text.toString().stripTrailing());
            return 0;
        }
    }

    /** Whether records fit together. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "What each record lacks, and where records"
                            + " contradict themselves or each other. Exits with 1 on a contradiction.")
    static final class Verify implements Callable<Integer> {
        @Mixin private Output output;

        @Mixin private Sources sources;

        @Override
        public Integer call() throws IOException {
            FleetAudit statement = new FleetAudit(sources.histories());
            List<String> violations = statement.verify();
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("lives", statement.describeRecords());
            all.put("contradictions", violations);
            all.put("complaints", sources.complaints);
            output.result(
                    all,
                    indentedLines(statement.describeRecords())
                            + "contradictions"
                            + System.lineSeparator()
                            + indentedLines(violations)
                            + indentedLines(sources.complaints)
                            + (violations.isEmpty()
                                    ? "they fit together"
                                    : "they do not fit together"));
            return violations.isEmpty() ? 0 : 1;
        }
    }
}
