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
abstract class AdminQueryCommand implements Callable<Integer> {
    @Mixin private Output output;

    @Parameters(arity = "1..*", paramLabel = "CONSOLE", description = "ADDRESS:PORT of each.")
    private List<String> addresses;

    /** Stands above the rows; empty for nothing. */
    abstract String header();

    /**
     * Takes what is wanted of what a console said into its row; returns whether that is as it
     * should be.
     */
    abstract boolean readStatus(Map<String, Object> status, Map<String, Object> row);

    /** A row, for people; each of its lines ends. */
    abstract String formatRow(Map<String, Object> row);

    @Override
    public final Integer call() throws InterruptedException {
        List<Object> rows = new ArrayList<>();
        StringBuilder text = new StringBuilder(header());
        boolean allGood = true;
        for (String address : addresses) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("console", address);
            Map<String, Object> status = AdminClient.fetchStatus(address);
            if (status.containsKey("error")) {
                row.put("error", status.get("error"));
                text.append(address)
                        .append(": ")
                        .append(status.get("error"))
                        .append(System.lineSeparator());
                allGood = false;
            } else {
                row.put("balancer", status.getOrDefault("balancer", "unknown"));
                allGood &= readStatus(status, row);
                text.append(formatRow(row));
            }
            rows.add(row);
        }
        output.result(Map.of("balancers", rows, "good", allGood), text.toString().stripTrailing());
        return allGood ? 0 : 1;
    }
}
