package frostrelay.adapter;

import frostrelay.policy.Router;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Server;
import frostrelay.settings.SettingsException;
import frostrelay.settings.SettingsParser;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads frames of events, passes them to one {@link Router} per balancer, and replies with the
 * routers' actions.
 */
final class Adapter {
    /** Number of server lists that events can refer to. */
    private static final int MAX_LISTS = 16;

    /**
     * One balancer hosted here.
     *
     * @param router the balancer's decision module
     * @param classCount number of request classes in the balancer's settings
     * @param gossip the balancer's gossip with peers, or null if it is disabled
     */
    private record Instance(Router router, int classCount, SimulatedGossip gossip) {}

    private final InputStream in;
    private final OutputStream out;
    private final boolean gossipEnabled;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<Server>> serverLists = new ArrayList<>();
    private EventFrame frame;

    /**
     * Creates an adapter between two streams.
     *
     * @param gossipEnabled whether hosted balancers gossip where their settings allow it
     */
    Adapter(InputStream in, OutputStream out, boolean gossipEnabled) {
        this.in = in;
        this.gossipEnabled = gossipEnabled;
        this.out = out;
        for (int i = 0; i < MAX_LISTS; i++) {
            serverLists.add(null);
        }
    }

    /**
     * Serves until the end of input.
     *
     * @throws WireException if the input violates the wire protocol
     * @throws IOException if reading or writing fails
     */
    void run() throws IOException {
        frame = EventFrame.read(in);
        while (frame != null) {
            reply.begin();
            int recordCount = frame.recordCount();
            long now = frame.nowNanos();
            for (int i = 0; i < recordCount; i++) {
                handleEvent(now, frame.recordOffset(i));
            }
            reply.finish(out);
            frame = EventFrame.read(in);
        }
    }

    private void handleEvent(long now, int offset) {
        EventCode event = frame.eventCode(offset);
        switch (event) {
            case SERVER_LIST -> storeServerList(offset);
            case START -> startInstance(now, offset);
            default -> handleInstanceEvent(now, event, offset);
        }
    }

    private void handleInstanceEvent(long now, EventCode event, int offset) {
        int balancer = frame.balancer(offset);
        Instance instance = instances.get(balancer);
        if (instance == null) {
            throw new WireException(
                    "event "
                            + event.code()
                            + " for balancer "
                            + balancer
                            + ", which has not started");
        }
        Router router = instance.router();
        switch (event) {
            case TIMER -> handleTimer(now, offset, instance);
            case ATTEMPT_OUTCOME -> router.onAttemptOutcome(now, frame.outcome(offset));
            case STOP -> instances.remove(balancer);
            case PEER_MESSAGE -> handlePeerMessage(now, offset, instance);
            case ENDPOINT_UPDATE -> handleEndpointUpdate(now, offset, instance);
            case FIRST_BYTE ->
                    router.onFirstByte(now, frame.requestId(offset), frame.attempt(offset));
            case CLIENT_DISCONNECT -> router.onClientDisconnect(now, frame.requestId(offset));
            case REQUEST -> router.onRequest(now, frame.request(offset, instance.classCount()));
            default -> {
                // HEALTH_CHECK_RESULT: the decision module requests no health checks.
            }
        }
    }

    private void handleTimer(long now, int offset, Instance instance) {
        int token = frame.timerToken(offset);
        if (instance.gossip() != null && token == SimulatedGossip.TIMER_TOKEN) {
            instance.gossip().onTimer(now);
        } else {
            instance.router().onTimer(now, token);
        }
    }

    private void handlePeerMessage(long now, int offset, Instance instance) {
        byte[] data = frame.messageData(offset);
        if (instance.gossip() != null) {
            instance.gossip().onDatagram(now, frame.messageSender(offset), data);
        }
    }

    private void handleEndpointUpdate(long now, int offset, Instance instance) {
        EndpointUpdateMode mode = frame.updateMode(offset);
        boolean hasFailed = mode == EndpointUpdateMode.FAILED;
        List<Server> servers =
                hasFailed ? List.of() : storedServerList(frame.updateListNumber(offset));
        instance.router().onEndpointUpdate(now, mode, servers);
        if (instance.gossip() != null && !hasFailed) {
            instance.gossip()
                    .onListApplied(
                            now,
                            frame.updateRevision(offset),
                            mode == EndpointUpdateMode.DELTA,
                            servers);
        }
    }

    private void startInstance(long now, int offset) {
        int balancer = frame.balancer(offset);
        String text = frame.startSettings(offset);
        PolicySettings settings = parseSettings(text);
        if (settings.classes().isEmpty()) {
            throw new WireException(
                    "settings of balancer " + balancer + " define no request class");
        }
        long seed = frame.startSeed(offset);
        Router router = new Router(settings, seed, reply.actionsOf(balancer));
        SimulatedGossip gossip =
                SimulatedGossip.createIfEnabled(
                        gossipEnabled,
                        reply,
                        balancer,
                        now,
                        seed,
                        settings.instanceIndex(),
                        settings.instanceCount(),
                        text,
                        router);
        instances.put(balancer, new Instance(router, settings.classes().size(), gossip));
    }

    private static PolicySettings parseSettings(String text) {
        try {
            return SettingsParser.parse(text);
        } catch (SettingsException e) {
            throw new WireException(e.getMessage(), e);
        }
    }

    private void storeServerList(int offset) {
        List<Server> servers = frame.serverList(offset);
        serverLists.set(checkedListNumber(frame.listNumber(offset)), servers);
    }

    private List<Server> storedServerList(int number) {
        List<Server> servers = serverLists.get(checkedListNumber(number));
        if (servers == null) {
            throw new WireException("server list " + number + " has not been sent");
        }
        return servers;
    }

    private static int checkedListNumber(int number) {
        if (number >= MAX_LISTS) {
            throw new WireException(
                    "list number " + number + " is out of range: allowed 0 to " + (MAX_LISTS - 1));
        }
        return number;
    }
}
