package frostrelay.cli;

import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.client.OpenLoopClients;
import frostrelay.testbed.client.RoundRobinFrontend;
import frostrelay.testbed.invariants.ClientObserver;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.wire.Loopback;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Clients alone, against balancers that run. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = {
            "Sends a day's requests in an open loop to balancers on loopback and counts what came back.",
            "It sees only the clients' end: that a value was made for its request, and one answer for each."
        })
final class LoadCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Mixin private ScenarioOptions options;

    @Mixin private Output output;

    @Parameters(
            arity = "1..*",
            paramLabel = "ADDRESS:PORT",
            description = "Where balancers listen for clients.")
    private List<String> to;

    @Override
    public Integer call() throws Exception {
        Scenario day = options.scenario();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : to) {
            try {
                addresses.add(Loopback.parse(text));
            } catch (IllegalArgumentException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
            }
        }
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            ClientStatistics statistics = new ClientStatistics();
            OpenLoopClients load =
                    new OpenLoopClients(
                            day,
                            new RoundRobinFrontend(addresses),
                            group.next(),
                            ClientObserver.NONE,
                            statistics);
            Future<ClientStatistics> done = load.run();
            while (!done.await(1, TimeUnit.SECONDS)) {
                ClientStatistics.Recent recent = statistics.recent();
                output.progress(
                        String.format(
                                Locale.ROOT,
                                "%6d asked  %5d/s  in time %5.1f%%  p50 %.1f ms  p99 %.1f ms",
                                statistics.requests(),
                                recent.completed(),
                                100.0 * recent.inTime() / Math.max(1, recent.completed()),
                                recent.p50Ms(),
                                recent.p99Ms()));
            }
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("asked", statistics.requests());
            figures.put("tries", statistics.attempts());
            for (ClientStatistics.Outcome end : ClientStatistics.Outcome.values()) {
                figures.put(end.name().toLowerCase(Locale.ROOT), statistics.count(end));
            }
            figures.put("wrong", statistics.wrongResponses());
            figures.put("p50Ms", statistics.latencyMillis(50));
            figures.put("p99Ms", statistics.latencyMillis(99));
            figures.put("classes", statistics.byClass());
            output.result(
                    figures,
                    String.format(
                            Locale.ROOT,
                            "%,d requests: %d in time, %d late, %d refused, %d failed, %d lost,"
                                    + " %d wrong; p50 %.1f ms, p99 %.1f ms",
                            statistics.requests(),
                            statistics.count(ClientStatistics.Outcome.IN_TIME),
                            statistics.count(ClientStatistics.Outcome.LATE),
                            statistics.count(ClientStatistics.Outcome.REFUSED),
                            statistics.count(ClientStatistics.Outcome.FAILED),
                            statistics.count(ClientStatistics.Outcome.LOST),
                            statistics.wrongResponses(),
                            statistics.latencyMillis(50),
                            statistics.latencyMillis(99)));
            return statistics.wrongResponses() == 0
                            && statistics.count(ClientStatistics.Outcome.LOST) == 0
                    ? 0
                    : 1;
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
