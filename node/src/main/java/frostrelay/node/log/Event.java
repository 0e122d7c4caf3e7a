package frostrelay.node.log;

import org.slf4j.event.Level;

import java.util.List;

/**
 * The log events of the balancer, with the fields of each line in order. {@code docs/events.md} is
 * generated from this, and a test compares the two.
 */
public enum Event {
    SERVING(Level.INFO, "The balancer accepts clients from now on.", "listen", "admin"),
    CANNOT_START(Level.ERROR, "The balancer cannot start; the process exits with 1.", "reason"),
    SHUTDOWN_STARTED(
            Level.INFO,
            "SIGTERM was received: requests are accepted and answered for the given number of milliseconds.",
            "replaced",
            "accept-ms",
            "answer-ms"),
    SHUTDOWN_PROGRESS(
            Level.INFO,
            "Progress of a shutdown: the number of client connections and open requests, and the first open"
                    + " requests with the milliseconds left to answer each.",
            "elapsed-ms",
            "clients",
            "open",
            "requests"),
    REQUEST(Level.DEBUG, "A request changed its state.", "id", "state", "detail"),
    CLIENT_CLOSED(
            Level.DEBUG, "A client's connection was closed.", "client", "reason", "unanswered"),
    SHUTDOWN_FAILED(
            Level.ERROR, "The graceful shutdown failed; the process exits regardless.", "reason"),
    SIGNAL_IGNORED(
            Level.WARN,
            "The process was started with SIGHUP ignored, as under nohup: the configuration file is"
                    + " polled for changes instead.",
            "signal",
            "poll-interval-ms"),
    SETTINGS_APPLIED(Level.INFO, "A new configuration is in effect.", "classes", "attempts"),
    SETTINGS_REJECTED(
            Level.ERROR,
            "A new configuration is invalid; the current one stays in effect completely.",
            "reason"),
    COUNTS(
            Level.INFO,
            "The counters since the start, by default every ten seconds; counters that are 0 are left out.",
            "counts",
            "gauges"),
    DRAIN_STARTED(Level.INFO, "This balancer drains its clients."),
    DRAIN_ENDED(Level.INFO, "This balancer accepts clients again."),
    ADMIN_DRAINS(
            Level.INFO,
            "The set of cache servers that administrators drained has changed.",
            "caches"),
    PEER_PROCESS_SERVING(
            Level.INFO,
            "Another process of this balancer serves: descriptors are shared with it.",
            "peer-processes"),
    PEER_PROCESS_ENDED(Level.INFO, "Another process of this balancer has ended.", "peer-processes"),
    PEER_PROCESSES_UNREADABLE(
            Level.WARN,
            "Other processes of this balancer cannot be detected, or cannot detect this one.",
            "reason"),
    ADMIN_DRAINS_UNREADABLE(
            Level.WARN,
            "A file of drains or overrides is corrupt or foreign; the last known values stay in effect.",
            "file",
            "reason"),
    SHARED_DIRECTORY_FAILED(
            Level.WARN,
            "The directory shared with other processes could not be read or written.",
            "reason"),
    ADMIN_CALL_FAILED(Level.WARN, "An administrator's call could not be executed.", "reason"),
    DISCOVERY_ADDRESS_CHANGED(
            Level.INFO, "The configuration contains another discovery address.", "from", "to"),
    DISCOVERY_ADDRESS_CONNECTED(
            Level.INFO,
            "The discovery at the new address has answered.",
            "address",
            "version",
            "known-version"),
    DISCOVERY_FAILED(
            Level.WARN,
            "A call or a watch ended without an endpoint list; the decision module decides when to subscribe"
                    + " again. `silence`: there was no answer in time, and another call starts at once.",
            "reason"),
    PROTOCOL_VIOLATION(
            Level.WARN,
            "A peer violated the protocol. At most 20 such lines between two reports of the counters.",
            "detail"),
    INVARIANT_VIOLATION(
            Level.ERROR,
            "An invariant was violated: a fault of this program, or it was not given CPU time. Limited like"
                    + " protocol violations.",
            "invariant",
            "detail"),
    UNEXPECTED_EXCEPTION(
            Level.ERROR,
            "An unexpected exception. Limited like protocol violations.",
            "where",
            "exception",
            "trace"),
    LIBRARY_WARNING(
            Level.WARN,
            "A warning of a library. At most 100 such lines during the life of a process.",
            "logger",
            "message",
            "exception"),
    GOSSIP_STARTED(
            Level.INFO,
            "This balancer takes part in its tier's gossip from now on.",
            "address",
            "member",
            "members",
            "max-bytes-per-second"),
    GOSSIP_DISABLED(Level.WARN, "Gossip is enabled but cannot be used.", "reason"),
    PEER_STATE(
            Level.INFO,
            "The membership state of another balancer has changed. At most 200 such lines between two reports of"
                    + " the counters.",
            "member",
            "state",
            "reported-by"),
    STALE_INSTANCE(
            Level.WARN,
            "This balancer has become stale or is current again, or one version has two different contents.",
            "detail"),
    CACHES_AVOIDED(
            Level.INFO,
            "The number of cache servers avoided because of peers' endpoint lists or their administrators' drains.",
            "caches",
            "list",
            "peers-list",
            "admin-drained"),
    VERSION_NOT_FOLLOWED(
            Level.ERROR,
            "Peers use a newer version and fail with it: it is not followed. Administrators decide.",
            "kind",
            "number",
            "reason"),
    DEGRADATION_REPORTED(
            Level.WARN,
            "By its own counters this balancer serves worse since it applied a version of these kinds; peers are"
                    + " notified.",
            "kinds",
            "list",
            "config"),
    SETTINGS_RECEIVED_FROM_PEER(
            Level.INFO,
            "Settings that this balancer's file lacks were received from a peer and match their digest.",
            "config"),
    OUTLIER_REPORTED(
            Level.INFO,
            "By its own attempts this balancer found a cache server to be an outlier and notifies its peers."
                    + " Limited like peer states.",
            "cache"),
    OUTLIERS_DOWNWEIGHTED(
            Level.INFO,
            "Exactly these cache servers have a reduced weight now, as peers report them as outliers. Limited like"
                    + " peer states.",
            "caches"),
    OVERRIDES(Level.INFO, "The administrators' override decisions have changed.", "overrides"),
    STALE_DRAIN_STARTED(
            Level.WARN,
            "This balancer has been stale for long without catching up and drains its clients until it is current.",
            "reason"),
    STALE_DRAIN_ENDED(
            Level.INFO,
            "This balancer is current again, or may not stay drained, and accepts clients.",
            "reason"),
    AUDIT_GAP(
            Level.ERROR,
            "The audit record cannot be written; the missing part is marked in it as a gap. Service continues.",
            "reason"),
    CLASS_ARCHIVE_TRAINED(
            Level.INFO, "The class archive's training run of the build is complete.", "responses");

    /** The severity. */
    public final Level level;

    /** The meaning of the event, for the documentation. */
    public final String meaning;

    /** The names of the fields, in their order. */
    public final List<String> fields;

    Event(Level level, String meaning, String... fields) {
        this.level = level;
        this.meaning = meaning;
        this.fields = List.of(fields);
    }

    /** Returns the name in the log, in kebab case. */
    public String logName() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /** Renders the documentation of all events as Markdown. */
    public static String renderDocumentation() {
        StringBuilder page =
                new StringBuilder(
                        "# Log events\n\n"
                                + "Each event is one line: text on a terminal, otherwise a JSON object with `time` (UTC), `level`,"
                                + " `event`, `balancer`\nand the fields listed here. Values and keys of clients are never logged. Lines that"
                                + " peers can cause are limited\nin number and length.\n\n"
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
