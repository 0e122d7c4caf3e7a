package frostrelay.testbed.campaign;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Something that a campaign does. {@code atNanos} and {@code durationNanos}: nanoseconds, from the
 * play's start; {@code balancers} and {@code targets}: what {@link Kind} says; {@code amount}:
 * likewise.
 */
public record FaultEvent(
        long atNanos,
        Kind kind,
        List<Integer> balancers,
        List<Integer> targets,
        double amount,
        long durationNanos) {
    /** What can happen. */
    public enum Kind {
        LOSS("Datagrams from who to whom are lost: amount is the part of 1."),
        DELAY(
                "Datagrams from who to whom take up to amount milliseconds, and so overtake each other."),
        DOUBLE("Datagrams from who to whom come twice: amount is the part of 1."),
        DAMAGE("Datagrams from who to whom have a bit flipped: amount is the part of 1."),
        SILENCE("Nothing comes from who to whom; the other way is as it was."),
        PARTITION("Balancers who and the others do not hear each other."),
        FORGE("Whom get a datagram as from who that claims what cannot be."),
        DISCOVERY_CUT("Balancers who do not reach discovery."),
        DISCOVERY_LATE("Discovery tells who changes amount milliseconds later."),
        DISCOVERY_OLD("Discovery tells who nothing newer than it has."),
        CACHE_CUT("Balancers who do not reach caches whom."),
        KILL("SIGKILL to who; started again when it is over."),
        KILL_EMPTY("Likewise, and its temporary files are gone at the start."),
        FREEZE("SIGSTOP to who, SIGCONT when it is over."),
        TERMINATE("SIGTERM to who; started again when it is over."),
        UPGRADE("Another process of who starts; the old one is ended once it serves."),
        STARVE("Processes of who run for a part of the time only: amount of 1."),
        WALL_CLOCK("The wall clocks of who are off by amount milliseconds."),
        DISK("The audit's folder of who cannot be written: a file stands in its place."),
        DISK_SMALL(
                "No file of who can be longer than amount KiB, from its start on: what goes beyond is refused."),
        CONFIG("Who get configuration number amount and are told so."),
        CONFIG_OTHER("Who get other content under number amount, and are told so."),
        CONFIG_QUIET("Who get configuration number amount and are not told."),
        CONFIG_BAD("Who get half of a configuration and are told so."),
        CONFIG_UNFIT(
                "Who get a configuration under number amount that no balancer can use, and are told so."),
        CONFIG_HARMFUL(
                "Who get a configuration under number amount by which they refuse nearly all, and are told so."),
        DRAIN("Cache whom drains; it is back when it is over."),
        FLAP("Cache whom drains and is back in turn, every amount milliseconds, until it is over."),
        HOLD("Operators hold cache whom at balancers who."),
        CACHE_SILENT("Cache whom says nothing and reads nothing; its connections stay open."),
        CACHE_RESTART("Cache whom is killed and starts cold."),
        CACHE_FAILS_WRITES("Cache whom answers each write that it failed; reads go on."),
        ARCHIVE_SLOW("The archive behind all caches takes amount times as long."),
        RETRY(
                "Clients that stay with balancers who send the next read at once, whatever the answer, until it is over."),
        KEEP_IN("Operators keep balancers who in, however far they lag behind, until it is over."),
        SHUT_OUT("Operators shut balancers who out until it is over."),
        UPGRADE_FORM("As upgrade, to a build that writes another form of datagrams."),
        LOOK("Operators ask the consoles of all what they know of each other.");

        /** What it does. */
        public final String meaning;

        Kind(String meaning) {
            this.meaning = meaning;
        }

        /** As files and people write it. */
        public String keyword() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** All words. */
        public static List<String> keywords() {
            return Arrays.stream(values()).map(Kind::keyword).toList();
        }
    }

    /** The moment at which it is over, for what has an end. */
    public long endNanos() {
        return atNanos + durationNanos;
    }

    /** In a few words. */
    public String describe() {
        return String.format(
                Locale.ROOT,
                "%.1fs %s%s%s%s%s",
                atNanos / 1e9,
                kind.keyword(),
                balancers.isEmpty() ? "" : " who " + balancers,
                targets.isEmpty() ? "" : " whom " + targets,
                amount == 0 ? "" : " amount " + amount,
                durationNanos == 0
                        ? ""
                        : String.format(Locale.ROOT, " for %.1fs", durationNanos / 1e9));
    }
}
