package frostrelay.cli;

import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

/**
 * Asks consoles one after the other and tells a row of each; exits with 1 where one is not as it
 * should be or cannot be asked.
 */
abstract class ConsolesCommand implements Callable<Integer> {
    @Mixin private Output output;

    @Parameters(arity = "1..*", paramLabel = "CONSOLE", description = "ADDRESS:PORT of each.")
    private List<String> consoles;

    /** Stands above the rows; empty for nothing. */
    abstract String head();

    /**
     * Takes what is wanted of what a console said into its row; returns whether that is as it
     * should be.
     */
    abstract boolean read(Map<String, Object> said, Map<String, Object> row);

    /** A row, for people; each of its lines ends. */
    abstract String text(Map<String, Object> row);

    @Override
    public final Integer call() throws InterruptedException {
        List<Object> told = new ArrayList<>();
        StringBuilder text = new StringBuilder(head());
        boolean good = true;
        for (String console : consoles) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("console", console);
            Map<String, Object> said = Consoles.audit(console);
            if (said.containsKey("error")) {
                row.put("error", said.get("error"));
                text.append(console)
                        .append(": ")
                        .append(said.get("error"))
                        .append(System.lineSeparator());
                good = false;
            } else {
                row.put("balancer", said.getOrDefault("balancer", "unknown"));
                good &= read(said, row);
                text.append(text(row));
            }
            told.add(row);
        }
        output.result(Map.of("balancers", told, "good", good), text.toString().stripTrailing());
        return good ? 0 : 1;
    }
}
