package frostrelay.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.experiment.ExperimentFile;
import frostrelay.experiment.SystemModelFile;
import frostrelay.testbed.campaign.ScheduleFile;
import frostrelay.testbed.scenario.ScenarioFile;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import picocli.CommandLine;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What a person types and gets: exit codes, plain messages, and the pages that describe the files.
 */
class CommandLineTest {
    private static final Path DOCS = Path.of("../docs");
    private static final String GENERATED_MARKER = "<!-- made from the forms -->\n";

    @TempDir private Path folder;

    private record CommandResult(int exitCode, String out, String err) {}

    private static CommandResult run(String... arguments) {
        PrintStream previousOut = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StringWriter err = new StringWriter();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            CommandLine commandLine = Main.commandLine();
            commandLine.setErr(new PrintWriter(err, true));
            commandLine.setOut(new PrintWriter(System.out, true));
            return new CommandResult(
                    commandLine.execute(arguments),
                    out.toString(StandardCharsets.UTF_8),
                    err.toString());
        } finally {
            System.setOut(previousOut);
        }
    }

    @Test
    void theVersionIsThatOfTheBuildAndOfTheLastChangeListed() throws Exception {
        String version = run("--version").out.strip().replace("frostrelay ", "");
        assertTrue(
                Files.readString(Path.of("../pom.xml"))
                        .contains("<version>" + version + "</version>"),
                version);
        assertTrue(
                Files.readString(Path.of("../CHANGELOG.md"))
                        .startsWith("# Changelog\n\n## " + version + "\n"),
                version);
    }

    @Test
    void wrongUsageIsTwoAndHelpIsZero() {
        assertEquals(2, run().exitCode);
        assertEquals(2, run("deom").exitCode);
        assertTrue(run("deom").err.contains("demo"), "the nearest command is named");
        assertEquals(2, run("demo", "--seconds", "0").exitCode);
        assertEquals(2, run("demo", "--seconds", "soon").exitCode);
        assertEquals(2, run("fault", "explode").exitCode);
        assertEquals(2, run("load", "192.0.2.1:80").exitCode, "nothing but loopback is loaded");
        assertEquals(2, run("load", "127.0.0.1:99999").exitCode);
        assertEquals(2, run("check").exitCode);
        for (String command :
                List.of(
                        "demo",
                        "serve",
                        "check",
                        "fleet",
                        "load",
                        "fault",
                        "bench",
                        "lab",
                        "experiment",
                        "stragglers",
                        "stale-instances",
                        "judgements",
                        "health-reports",
                        "counts",
                        "cluster-counters")) {
            CommandResult help = run(command, "--help");
            assertEquals(0, help.exitCode);
            assertTrue(help.out.contains("Usage: frostrelay " + command), help.out);
        }
        assertEquals(0, run("generate-completion").exitCode);
    }

    @Test
    void aFaultWithoutATestClusterFails() {
        CommandResult result = run("fault", "kill", "cache-1", "--at", "127.0.0.1:1");
        assertEquals(1, result.exitCode);
        assertEquals(1, result.err.lines().count(), result.err);
    }

    @Test
    void checkReportsEverythingAndSetsItsExitCode() throws Exception {
        Path validFile = Files.writeString(folder.resolve("own.toml"), "[log]\nlevel = \"warn\"\n");
        Path invalidFile =
                Files.writeString(folder.resolve("bad.toml"), "[log]\nlevel = \"loud\"\n[relod]\n");
        Path scenario = Files.writeString(folder.resolve("day.toml"), ScenarioFile.demoText());
        Path platform = Files.writeString(folder.resolve("config.json"), "{\"listen\":");
        assertEquals(0, run("check", validFile.toString(), scenario.toString()).exitCode);
        CommandResult resultOfAll =
                run("check", validFile.toString(), invalidFile.toString(), platform.toString());
        assertEquals(1, resultOfAll.exitCode);
        assertTrue(
                resultOfAll.out.contains(
                        "bad.toml:2: log.level: found \"loud\", allowed: one of debug, info, warn, error"));
        assertTrue(
                resultOfAll.out.contains(
                        "bad.toml:3: relod: found an unknown key, allowed: did you mean 'reload'?"));
        assertTrue(resultOfAll.out.contains("config.json"));
        CommandResult json = run("check", "--json", "--effective", validFile.toString());
        Map<String, Object> report = JSON.std.mapFrom(json.out.strip());
        assertEquals(true, report.get("good"));
        assertTrue(json.out.contains("level = \\\"warn\\\""));
    }

    /** Days that are well formed and cannot be meant. */
    @Test
    void aScenarioThatCannotBeRunIsRejectedWithItsLine() throws Exception {
        String demo = ScenarioFile.demoText();
        Map<String, String> invalidEdits =
                Map.of(
                        "share = 0.95",
                        "share = 0.5",
                        "target = \"cache-2\"",
                        "target = \"cache-11\"",
                        "aim = \"300ms\"",
                        "aim = \"3s\"",
                        "name = \"use\"",
                        "name = \"read\"",
                        "at = \"21s\"",
                        "at = \"31s\"",
                        "name = \"centre\"",
                        "name = \"a,b\"",
                        "work-most = \"5ms\"",
                        "work-most = \"1ms\"",
                        "target = \"any-3\"",
                        "target = \"any-11\"");
        for (Map.Entry<String, String> edit : invalidEdits.entrySet()) {
            String text = demo.replace(edit.getKey(), edit.getValue());
            assertFalse(text.equals(demo), edit.getKey());
            Path file = Files.writeString(folder.resolve("day.toml"), text);
            CommandResult result = run("check", file.toString());
            assertEquals(1, result.exitCode, edit.toString());
            assertTrue(
                    result.out.matches("(?s).*day\\.toml(:\\d+)?: (class|tenant|fault)\\..*"),
                    result.out);
        }
    }

    @Test
    void theShippedSettingsAreTheStandardOnes() {
        Path shipped = Path.of("../deploy/frostrelay.toml");
        assertEquals(frostrelay.node.Options.DEFAULTS, LocalSettings.read(shipped));
    }

    /** {@code -Dfrostrelay.write-pages=true} writes the page's part anew. */
    @Test
    void thePageDescribesEveryKey() throws Exception {
        String schemas =
                "## A balancer's own settings\n\n"
                        + LocalSettings.schema().describe()
                        + "## A day for the fleet\n\n"
                        + ScenarioFile.schema().describe()
                        + "## A plant for the lab\n\n"
                        + SystemModelFile.schema().describe()
                        + "## An experiment\n\n"
                        + ExperimentFile.schema().describe()
                        + "## A schedule of a campaign\n\n"
                        + ScheduleFile.form().describe();
        Path page = DOCS.resolve("configuration.md");
        String text = Files.readString(page);
        int from = text.indexOf(GENERATED_MARKER) + GENERATED_MARKER.length();
        if (Boolean.getBoolean("frostrelay.write-pages")) {
            Files.writeString(page, text.substring(0, from) + "\n" + schemas.strip() + "\n");
            text = Files.readString(page);
        }
        assertEquals("\n" + schemas.strip() + "\n", text.substring(from));
    }
}
