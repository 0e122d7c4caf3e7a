package frostrelay.node;

import frostrelay.audit.Recorder;
import frostrelay.judgements.Judgements;
import frostrelay.judgements.counts.Count;
import frostrelay.judgements.counts.Sum;
import frostrelay.peers.PeerSettings;
import frostrelay.stragglers.Stragglers;

import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * Where a test build steps between the balancer and what it writes and reads: the project's own
 * checkers are proved by defects put in here. {@code recorder}: wraps what takes the audit's
 * entries; {@code stragglers}: what carries out what lagging behind leads to; {@code judgements}:
 * likewise what judgements on caches lead to; {@code counts}: where sums over the tier are read;
 * {@code wall}: the wall clock, Unix milliseconds; {@code build}: the build's number, 0 to take it
 * from the program's own bytes; {@code form}: of the datagrams that it writes to its peers.
 */
public record Seams(
        UnaryOperator<Recorder> recorder,
        UnaryOperator<Stragglers.Actions> stragglers,
        UnaryOperator<Judgements.Actions> judgements,
        UnaryOperator<Sums> counts,
        LongSupplier wall,
        int build,
        int form) {
    /** Where sums over the tier are read. */
    public interface Sums {
        Sum sum(long now, Count one);
    }

    /** What is run: nothing in between. */
    public static final Seams NONE =
            new Seams(
                    UnaryOperator.identity(),
                    UnaryOperator.identity(),
                    UnaryOperator.identity(),
                    UnaryOperator.identity(),
                    System::currentTimeMillis,
                    0,
                    PeerSettings.STANDARD.form());
}
