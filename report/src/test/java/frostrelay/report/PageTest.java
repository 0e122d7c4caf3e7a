package frostrelay.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.experiment.Experiment;
import frostrelay.experiment.ExperimentFile;
import frostrelay.experiment.ExperimentRunner;
import frostrelay.experiment.ResultsFile;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.w3c.dom.Document;

import java.io.ByteArrayInputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import javax.xml.parsers.DocumentBuilderFactory;

/**
 * Checks that pages built from emulator runs contain all plots, are well formed and load no
 * external resources.
 */
class PageTest {
    private static final Pattern IMAGE =
            Pattern.compile("<img alt=\"([^\"]*)\" src=\"data:image/svg\\+xml;base64,([^\"]+)\">");

    @TempDir private Path folder;

    private ResultsFile.StoredResults runAndRead(String modelName, String sweeps) throws Exception {
        Files.writeString(
                folder.resolve(modelName),
                """
                length = "10s"
                [plant]
                caches = 4
                [clients]
                rate = "60/s"
                [[class]]
                share = 1.0
                [[fault]]
                at = "4s"
                kind = "origin-outage"
                for = "2s"
                """);
        Experiment experiment =
                sweeps == null
                        ? ExperimentFile.ofModels(List.of(folder.resolve(modelName)), 2)
                        : ExperimentFile.read(
                                Files.writeString(
                                        folder.resolve("sweep.toml"),
                                        "[experiment]\nplant = \""
                                                + modelName
                                                + "\"\nseeds = 2\n"
                                                + sweeps));
        Path results = folder.resolve("results.jsonl");
        Files.deleteIfExists(results);
        try (ResultsFile file = ResultsFile.open(results, experiment)) {
            ExperimentRunner.run(experiment, file, 4, (done, most) -> {});
        }
        return ResultsFile.read(results);
    }

    private static List<String> images(String html) throws Exception {
        List<String> names = new ArrayList<>();
        Matcher images = IMAGE.matcher(html);
        while (images.find()) {
            DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
            factory.setFeature(
                    "http://apache.org/xml/features/nonvalidating/load-external-dtd", false);
            Document svg =
                    factory.newDocumentBuilder()
                            .parse(
                                    new ByteArrayInputStream(
                                            Base64.getDecoder().decode(images.group(2))));
            assertEquals("svg", svg.getDocumentElement().getTagName());
            assertTrue(svg.getElementsByTagName("text").getLength() > 5, "the axes have labels");
            names.add(images.group(1));
        }
        return names;
    }

    @Test
    void pageShowsRunWithFaultsAndLoadsNoExternalResources() throws Exception {
        String html = new Page(runAndRead("a<b>&c.toml", null)).html();
        assertEquals(
                List.of("ends", "latency", "hit share", "copies and fetches", "load", "unserved"),
                images(html));
        assertTrue(
                html.contains("a&lt;b&gt;&amp;c") && !html.contains("a<b>"),
                "names are text, not markup");
        assertTrue(html.contains("at 4.0 s the origin carries nothing out, for 2.0 s"));
        assertFalse(
                html.replaceAll("base64,[^\"]+", "").matches("(?s).*(https?:|<script|<link).*"));
        Matcher first = IMAGE.matcher(html);
        assertTrue(first.find());
        String svg =
                new String(
                        Base64.getDecoder().decode(first.group(2)),
                        java.nio.charset.StandardCharsets.UTF_8);
        assertTrue(svg.contains("214,69,65"), "the interval of the fault is shaded");
    }

    @Test
    void sweepOfOneKeyGivesCurvesAndOfTwoKeysGivesHeatMaps() throws Exception {
        String one = "[[sweep]]\nkey = \"clients.rate\"\nvalues = \"30/s, 60/s\"\n";
        ResultsFile.StoredResults curves = runAndRead("p.toml", one);
        assertEquals("service", images(new Page(curves).html()).get(0));
        ResultsFile.StoredResults maps =
                runAndRead(
                        "p.toml",
                        one + "[[sweep]]\nkey = \"cache.eviction\"\nvalues = \"lru, fifo\"\n");
        String html = new Page(maps).html();
        assertTrue(images(html).size() >= 6 + 4 * 5);
        assertEquals(
                4,
                new Page(maps)
                        .markdown()
                        .lines()
                        .filter(line -> line.startsWith("| clients.rate="))
                        .count());
    }
}
