package frostrelay.node.log;

import org.slf4j.event.Level;

import java.util.List;

/**
 * Everything that the balancer logs, with the fields of each line in their order. {@code
 * docs/events.md} is made from this and a test holds it to it.
 */
public enum Event {
    SERVING(Level.INFO, "Clients are taken from now on.", "listen", "admin"),
    CANNOT_START(Level.ERROR, "It ends with 1.", "reason"),
    SHUTDOWN_STARTED(
            Level.INFO,
            "SIGTERM came: requests are accepted and answered for so many milliseconds more.",
            "replaced",
            "accept-ms",
            "answer-ms"),
    SHUTDOWN_PROGRESS(
            Level.INFO,
            "How far a shutdown is: connections of clients, and the first open requests with the milliseconds"
                    + " that are left to answer each.",
            "elapsed-ms",
            "clients",
            "open",
            "requests"),
    REQUEST(Level.DEBUG, "A request changed its state.", "id", "state", "detail"),
    CLIENT_CLOSED(Level.DEBUG, "A client's connection ended.", "client", "reason", "unanswered"),
    SHUTDOWN_FAILED(
            Level.ERROR, "The orderly stop failed; the process ends all the same.", "reason"),
    SIGNAL_IGNORED(
            Level.WARN,
            "It was started where SIGHUP is ignored, as under nohup: a replaced configuration is"
                    + " found by looking at the file instead.",
            "signal",
            "poll-interval-ms"),
    SETTINGS_APPLIED(
            Level.INFO, "A replaced configuration holds from now on.", "classes", "attempts"),
    SETTINGS_REJECTED(
            Level.ERROR,
            "A replaced configuration cannot be used; the old one stays, whole.",
            "reason"),
    COUNTS(
            Level.INFO,
            "What has been counted since the start, every ten seconds; what is 0 is left out.",
            "counts",
            "gauges"),
    DRAIN_STARTED(Level.INFO, "Operators send the clients away."),
    DRAIN_ENDED(Level.INFO, "Clients are taken again."),
    ADMIN_DRAINS(Level.INFO, "What operators hold out of use has changed.", "caches"),
    PEER_PROCESS_SERVING(
            Level.INFO,
            "Another process of this balancer serves: descriptors are shared with it.",
            "peer-processes"),
    PEER_PROCESS_ENDED(Level.INFO, "Another process of this balancer has ended.", "peer-processes"),
    PEER_PROCESSES_UNREADABLE(
            Level.WARN,
            "Other processes of this balancer cannot be looked for, or cannot see this one.",
            "reason"),
    ADMIN_DRAINS_UNREADABLE(
            Level.WARN,
            "The file of holds is torn or somebody else's; those known so far stay.",
            "file",
            "reason"),
    SHARED_DIRECTORY_FAILED(
            Level.WARN, "A look at the folder shared with other processes failed.", "reason"),
    ADMIN_CALL_FAILED(Level.WARN, "An operators' call could not be carried out.", "reason"),
    DISCOVERY_ADDRESS_CHANGED(
            Level.INFO, "The configuration names another discovery.", "from", "to"),
    DISCOVERY_ADDRESS_CONNECTED(
            Level.INFO, "The other discovery has answered.", "address", "version", "known-version"),
    DISCOVERY_FAILED(
            Level.WARN,
            "A call or a watch ended without a list; the module says when to ask again. `silence`: another one is opened at once.",
            "reason"),
    PROTOCOL_VIOLATION(
            Level.WARN,
            "A peer did what the protocol does not allow. At most 20 such lines between two counts.",
            "detail"),
    INVARIANT_VIOLATION(
            Level.ERROR,
            "What must never happen did: a fault of this program, or a machine that gave it no time. Bounded as lines"
                    + " of peers are.",
            "invariant",
            "detail"),
    UNEXPECTED_EXCEPTION(
            Level.ERROR,
            "An exception that nobody expected. Bounded as lines of peers are.",
            "where",
            "exception",
            "trace"),
    LIBRARY_WARNING(
            Level.WARN,
            "A library complains. At most 100 such lines in a process's life.",
            "logger",
            "message",
            "exception"),
    GOSSIP_STARTED(
            Level.INFO,
            "It talks with the balancers of its tier from now on.",
            "address",
            "member",
            "members",
            "max-bytes-per-second"),
    GOSSIP_DISABLED(Level.WARN, "It was to talk with its peers and does not.", "reason"),
    PEER_STATE(
            Level.INFO,
            "What is believed of another balancer has changed. At most 200 such lines between two counts.",
            "member",
            "state",
            "reported-by"),
    STALE_INSTANCE(
            Level.WARN,
            "This balancer has become a straggler, or is none any more, or a version has two contents.",
            "detail"),
    CACHES_AVOIDED(
            Level.INFO,
            "So many caches are avoided on others' word, as their lists or their operators' holds have it.",
            "caches",
            "list",
            "peers-list",
            "admin-drained"),
    VERSION_NOT_FOLLOWED(
            Level.ERROR,
            "Others act on a newer version and fail under it: it is not followed. Operators decide.",
            "kind",
            "number",
            "reason"),
    DEGRADATION_REPORTED(
            Level.WARN,
            "By its own counts this balancer serves worse since it took a version of these kinds; others are told.",
            "kinds",
            "list",
            "config"),
    SETTINGS_RECEIVED_FROM_PEER(
            Level.INFO,
            "Settings that its file lacks came from another balancer, whole by their digest.",
            "config"),
    OUTLIER_REPORTED(
            Level.INFO,
            "By its own attempts this balancer finds a cache bad and tells others. Bounded likewise.",
            "cache"),
    OUTLIERS_DOWNWEIGHTED(
            Level.INFO,
            "Exactly these caches are lowered now, as others find them bad. Bounded as lines on peers' states are.",
            "caches"),
    OVERRIDES(
            Level.INFO, "What operators decided in place of the program has changed.", "overrides"),
    STALE_DRAIN_STARTED(
            Level.WARN,
            "Behind for long and not brought up, it sends clients away until it is current.",
            "reason"),
    STALE_DRAIN_ENDED(
            Level.INFO, "It is current again, or may not be aside, and takes clients.", "reason"),
    AUDIT_GAP(
            Level.ERROR,
            "The audit's record cannot be written; what is missing is named in it as a gap. Service goes on.",
            "reason"),
    CLASS_ARCHIVE_TRAINED(Level.INFO, "The build has played a balancer's life once.", "responses");

    /** How much it matters. */
    public final Level level;

    /** What it means, in a sentence. */
    public final String meaning;

    /** The names of its fields, in their order. */
    public final List<String> fields;

    Event(Level level, String meaning, String... fields) {
        this.level = level;
        this.meaning = meaning;
        this.fields = List.of(fields);
    }

    /** The name in the log. */
    public String logName() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /** The page on all events. */
    public static String renderDocumentation() {
        StringBuilder page =
                new StringBuilder(
                        "# What the balancer logs\n\n"
                                + "One line an event. On a terminal it is text; otherwise a JSON object with `time` (UTC), `level`,"
                                + " `event`, `balancer`\nand the fields named here. Values and keys of clients never appear. What peers"
                                + " can cause is bounded in lines and length.\n\n"
                                + "| event | level | fields | meaning |\n| --- | --- | --- | --- |\n");
        for (Event event : values()) {
            page.append("| `")
                    .append(event.logName())
                    .append("` | ")
                    .append(event.level.toString().toLowerCase(java.util.Locale.ROOT))
                    .append(" | ")
                    .append(String.join(", ", event.fields))
                    .append(" | ")
                    .append(event.meaning)
                    .append(" |\n");
        }
        return page.toString();
    }
}
