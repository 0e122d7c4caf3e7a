package frostrelay.cli;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.testbed.fleet.ControlServer;
import frostrelay.testbed.scenario.FaultKind;
import frostrelay.testbed.scenario.FaultSpec;
import frostrelay.testbed.wire.Loopback;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Iterator;
import java.util.concurrent.Callable;

/** Hurts a running fleet. */
@Command(
        name = "fault",
        mixinStandardHelpOptions = true,
        description = "Plays one fault or operators' call on a fleet that 'frostrelay fleet' runs.")
final class FaultCommand implements Callable<Integer> {
    private static final double NANOS_PER_MILLISECOND = 1e6;

    /** The names for help and completion. */
    static final class Kinds implements Iterable<String> {
        @Override
        public Iterator<String> iterator() {
            return FaultKind.wireNames().iterator();
        }
    }

    @Spec private CommandSpec spec;

    @Parameters(
            index = "0",
            paramLabel = "KIND",
            completionCandidates = Kinds.class,
            description = "One of ${COMPLETION-CANDIDATES}.")
    private String kind;

    @Parameters(
            index = "1",
            paramLabel = "TARGET",
            defaultValue = "any",
            description =
                    "cache-3, balancer-1, any, or any-3 for three of them (${DEFAULT-VALUE}).")
    private String target;

    @Option(
            names = "--at",
            paramLabel = "ADDRESS:PORT",
            defaultValue = "127.0.0.1:7801",
            description = "Where the fleet takes faults (${DEFAULT-VALUE}).")
    private String at;

    @Option(
            names = "--factor",
            paramLabel = "X",
            defaultValue = "4",
            description = "How much (${DEFAULT-VALUE}).")
    private double factor;

    @Option(
            names = "--amount",
            paramLabel = "MS",
            defaultValue = "0",
            description = "Milliseconds, for delays.")
    private double amount;

    @Option(
            names = "--for",
            paramLabel = "MS",
            defaultValue = "0",
            description = "Undo it after so many milliseconds.")
    private double length;

    @Override
    public Integer call() throws Exception {
        FaultSpec fault;
        InetSocketAddress address;
        try {
            fault =
                    new FaultSpec(
                            0,
                            FaultKind.fromWireName(kind),
                            target,
                            factor,
                            (long) (amount * NANOS_PER_MILLISECOND),
                            (long) (length * NANOS_PER_MILLISECOND));
            address = Loopback.parse(at);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
        }
        try {
            HttpResponse<String> answer =
                    HttpClient.newBuilder()
                            .connectTimeout(Duration.ofSeconds(2))
                            .build()
                            .send(
                                    HttpRequest.newBuilder(
                                                    URI.create(
                                                            "http://"
                                                                    + Loopback.text(address)
                                                                    + "/fault"))
                                            .timeout(Duration.ofSeconds(5))
                                            .POST(
                                                    HttpRequest.BodyPublishers.ofString(
                                                            JSON.std.asString(
                                                                    ControlServer.encodeFault(
                                                                            fault))))
                                            .build(),
                                    HttpResponse.BodyHandlers.ofString());
            System.out.println(answer.body());
            return answer.statusCode() == 202 ? 0 : 1;
        } catch (IOException e) {
            throw new IOException("no fleet takes faults at " + at + ": " + e);
        }
    }
}
