package frostrelay.cli;

import frostrelay.experiment.ResultsFile;
import frostrelay.report.Page;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

/** Makes pages of results. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description =
                "Writes an HTML page with plots, that needs no other file, and a summary in Markdown beside the results; of a run that"
                        + " goes on as well.")
final class ExperimentReportCommand implements Callable<Integer> {
    @Mixin private Output output;

    @Parameters(paramLabel = "RESULTS")
    private Path results;

    @Override
    public Integer call() throws Exception {
        ResultsFile.StoredResults storedResults = ResultsFile.read(results);
        output.result(write(storedResults, results).figures(), where(results));
        return 0;
    }

    /** What was written: the summary, and the figures for a machine. */
    record Written(String markdown, Map<String, Object> figures) {}

    /** Writes both pages beside a file of results. */
    static Written write(ResultsFile.StoredResults storedResults, Path results) throws IOException {
        Page page = new Page(storedResults);
        String markdown = page.markdown();
        Files.writeString(beside(results, ".html"), page.html());
        Files.writeString(beside(results, ".md"), markdown);
        Map<String, Object> figures = page.figures();
        figures.put("report", beside(results, ".html").toString());
        return new Written(markdown, figures);
    }

    static String where(Path results) {
        return "report: "
                + beside(results, ".html")
                + " and "
                + beside(results, ".md")
                + ", results: "
                + results;
    }

    private static Path beside(Path results, String ending) {
        return results.resolveSibling(
                String.valueOf(results.getFileName()).replaceFirst("\\.jsonl$", "") + ending);
    }
}
