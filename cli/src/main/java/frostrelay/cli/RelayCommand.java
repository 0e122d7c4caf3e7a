package frostrelay.cli;

import frostrelay.testbed.link.FaultProxy;
import frostrelay.testbed.wire.Loopback;

import io.netty.channel.nio.NioEventLoopGroup;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

import java.util.concurrent.Callable;

/** The relay that the bench measures the balancer against. */
@Command(
        name = "relay",
        hidden = true,
        mixinStandardHelpOptions = true,
        description =
                "Copies bytes between a loopback port and a loopback address, on one event loop.")
final class RelayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "PORT")
    private int port;

    @Parameters(paramLabel = "ADDRESS:PORT")
    private String to;

    @Override
    public Integer call() throws Exception {
        new FaultProxy(new NioEventLoopGroup(1).next(), Loopback.parse(to)).listen(port);
        Thread.currentThread().join();
        return 0;
    }
}
