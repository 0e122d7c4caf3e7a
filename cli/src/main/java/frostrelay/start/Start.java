package frostrelay.start;

import frostrelay.audit.Recorder;
import frostrelay.judgements.Judgements;
import frostrelay.node.Options;
import frostrelay.node.Program;
import frostrelay.node.Seams;
import frostrelay.peers.PeerSettings;
import frostrelay.stragglers.Stragglers;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * Starts the balancer as its own main class does, for campaigns: with a wall clock that a file
 * moves and, where that is asked for, a seeded defect. {@code run} never comes here.
 */
public final class Start {
    private static final String PREFIX = "frostrelay.campaign.";

    private Start() {}

    /** Takes no arguments; the JVM's properties say the rest. */
    public static void main(String[] args) {
        String defect = System.getProperty(PREFIX + "defect");
        UnaryOperator<Recorder> recorder =
                inner -> defect == null ? inner : Defect.of(defect).into(inner);
        UnaryOperator<Stragglers.Actions> actions =
                inner -> defect == null ? inner : Defect.of(defect).into(inner);
        UnaryOperator<Judgements.Actions> judgements =
                inner -> defect == null ? inner : Defect.of(defect).into(inner);
        UnaryOperator<Seams.Sums> counts =
                inner -> defect == null ? inner : Defect.of(defect).into(inner);
        Program.start(
                System.getenv("GW_CONFIG"),
                Options::ofProperties,
                new Seams(
                        recorder,
                        actions,
                        judgements,
                        counts,
                        wall(),
                        Integer.getInteger(PREFIX + "build", 0),
                        Integer.getInteger(PREFIX + "form", PeerSettings.STANDARD.form())));
    }

    /** Unix milliseconds, off by what a file says at the moment. */
    private static LongSupplier wall() {
        String file = System.getProperty(PREFIX + "wall");
        if (file == null) {
            return System::currentTimeMillis;
        }
        return () -> {
            try {
                return System.currentTimeMillis()
                        + Long.parseLong(Files.readString(Path.of(file)).strip());
            } catch (IOException | NumberFormatException e) {
                return System.currentTimeMillis();
            }
        };
    }
}
