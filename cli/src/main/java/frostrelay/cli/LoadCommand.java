package frostrelay.cli;

import frostrelay.rig.client.Front;
import frostrelay.rig.client.OpenLoop;
import frostrelay.rig.client.Tally;
import frostrelay.rig.day.Day;
import frostrelay.rig.referee.ClientWatch;
import frostrelay.rig.wire.Loopback;

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

    @Mixin private DayOptions options;

    @Mixin private Output output;

    @Parameters(
            arity = "1..*",
            paramLabel = "ADDRESS:PORT",
            description = "Where balancers listen for clients.")
    private List<String> to;

    @Override
    public Integer call() throws Exception {
        Day day = options.day();
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
            Tally tally = new Tally();
            OpenLoop load =
                    new OpenLoop(
                            day, new Front(addresses), group.next(), ClientWatch.NOBODY, tally);
            Future<Tally> done = load.run();
            while (!done.await(1, TimeUnit.SECONDS)) {
                Tally.Recent recent = tally.recent();
                output.progress(
                        String.format(
                                Locale.ROOT,
                                "%6d asked  %5d/s  in time %5.1f%%  p50 %.1f ms  p99 %.1f ms",
                                tally.asked(),
                                recent.ended(),
                                100.0 * recent.inTime() / Math.max(1, recent.ended()),
                                recent.p50Ms(),
                                recent.p99Ms()));
            }
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("asked", tally.asked());
            figures.put("tries", tally.tries());
            for (Tally.End end : Tally.End.values()) {
                figures.put(end.name().toLowerCase(Locale.ROOT), tally.count(end));
            }
            figures.put("wrong", tally.wrongAnswers());
            figures.put("p50Ms", tally.ms(50));
            figures.put("p99Ms", tally.ms(99));
            figures.put("classes", tally.byClass());
            output.result(
                    figures,
                    String.format(
                            Locale.ROOT,
                            "%,d requests: %d in time, %d late, %d refused, %d failed, %d lost,"
                                    + " %d wrong; p50 %.1f ms, p99 %.1f ms",
                            tally.asked(),
                            tally.count(Tally.End.IN_TIME),
                            tally.count(Tally.End.LATE),
                            tally.count(Tally.End.REFUSED),
                            tally.count(Tally.End.FAILED),
                            tally.count(Tally.End.LOST),
                            tally.wrongAnswers(),
                            tally.ms(50),
                            tally.ms(99)));
            return tally.wrongAnswers() == 0 && tally.count(Tally.End.LOST) == 0 ? 0 : 1;
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
