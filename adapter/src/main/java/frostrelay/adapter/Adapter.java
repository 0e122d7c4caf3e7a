package frostrelay.adapter;

import frostrelay.policy.Router;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.Server;
import frostrelay.settings.SettingsException;
import frostrelay.settings.SettingsParser;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads event batches, hands them to one {@link Router} per instance, and replies. Decides nothing.
 */
final class Adapter {
    static final int EVENT_BYTES = 56;
    private static final int LIST_ENTRY_BYTES = 24;
    private static final int MAX_LISTS = 16;
    private static final int BODY_HEADER_BYTES = 12;

    /** A frame longer than this is taken for a damaged length. */
    static final int MAX_FRAME_BYTES = 1 << 28;

    private static final int ATTR_WORK_HINT = 1;
    private static final int ATTR_CLIENT_RETRY = 2;
    private static final int ATTR_WRITE = 4;
    private static final float[] NO_REPORT = new float[0];

    /**
     * One balancer hosted here, how many request classes its settings name, and its talk with peers
     * or null.
     */
    private record Instance(Router router, int classCount, SimulatedGossip gossip) {}

    private final InputStream in;
    private final OutputStream out;
    private final boolean gossipEnabled;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<Server>> serverLists = new ArrayList<>();
    private ByteBuffer frame;
    private int tailOffset;

    /**
     * {@code gossip}: whether hosted balancers talk with their peers where their settings allow it.
     */
    Adapter(InputStream in, OutputStream out, boolean gossipEnabled) {
        this.in = in;
        this.gossipEnabled = gossipEnabled;
        this.out = out;
        for (int i = 0; i < MAX_LISTS; i++) {
            serverLists.add(null);
        }
    }

    /** Serves until the end of input. */
    void run() throws IOException {
        while (readFrame()) {
            reply.begin();
            int recordCount = frame.getInt(0);
            long now = frame.getLong(4);
            for (int i = 0; i < recordCount; i++) {
                handleEvent(now, BODY_HEADER_BYTES + i * EVENT_BYTES);
            }
            reply.finish(out);
        }
    }

    private boolean readFrame() throws IOException {
        byte[] lengthPrefix = in.readNBytes(4);
        if (lengthPrefix.length == 0) {
            return false;
        }
        if (lengthPrefix.length < 4) {
            throw new WireException("end of input inside a frame's length");
        }
        int length = ByteBuffer.wrap(lengthPrefix).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (length < BODY_HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new WireException("impossible frame length " + Integer.toUnsignedString(length));
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new WireException(
                    "end of input inside a frame: " + body.length + " of " + length + " bytes");
        }
        frame = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        int recordCount = frame.getInt(0);
        long end = BODY_HEADER_BYTES + (recordCount & 0xffffffffL) * EVENT_BYTES;
        if (end > length) {
            throw new WireException(
                    "a frame of "
                            + length
                            + " bytes cannot hold "
                            + Integer.toUnsignedString(recordCount)
                            + " records");
        }
        tailOffset = (int) end;
        return true;
    }

    private void handleEvent(long now, int offset) {
        int code = frame.get(offset) & 0xff;
        if (code == 0) {
            readServerList(offset);
            return;
        }
        int balancer = frame.getInt(offset + 1);
        if (code == 7) {
            startInstance(now, offset, balancer);
            return;
        }
        if (code > 10) {
            throw new WireException("unknown event code " + code);
        }
        Instance instance = instances.get(balancer);
        if (instance == null) {
            throw new WireException(
                    "event " + code + " for balancer " + balancer + ", which has not started");
        }
        Router router = instance.router();
        switch (code) {
            case 1 -> {
                if (instance.gossip() != null
                        && frame.getInt(offset + 5) == SimulatedGossip.TIMER_TOKEN) {
                    instance.gossip().onTimer(now);
                } else {
                    router.onTimer(now, frame.getInt(offset + 5));
                }
            }
            case 2 -> router.onAttemptOutcome(now, readOutcome(offset));
            case 3 -> instances.remove(balancer);
            case 4 -> handleGossipMessage(now, offset, instance);
            case 6 -> {
                List<Server> servers = serverListOf(offset);
                router.onEndpointUpdate(now, readListMode(offset), servers);
                if (instance.gossip() != null
                        && readListMode(offset) != EndpointUpdateMode.FAILED) {
                    instance.gossip()
                            .onListApplied(
                                    now,
                                    frame.getLong(offset + 6),
                                    readListMode(offset) == EndpointUpdateMode.DELTA,
                                    servers);
                }
            }
            case 8 ->
                    router.onFirstByte(
                            now, frame.getLong(offset + 5), readUnsignedShort(offset + 13));
            case 9 -> router.onClientDisconnect(now, frame.getLong(offset + 5));
            case 10 -> router.onRequest(now, readRequest(offset, instance.classCount()));
            default -> {
                // 5: probe results, which this module never asks for.
            }
        }
    }

    private static PolicySettings parseSettings(String text) {
        try {
            return SettingsParser.parse(text);
        } catch (SettingsException e) {
            throw new WireException(e.getMessage());
        }
    }

    private void handleGossipMessage(long now, int offset, Instance instance) {
        int[] range = tailRange(offset + 7, 1);
        if (instance.gossip() != null) {
            instance.gossip()
                    .onDatagram(
                            now,
                            readUnsignedShort(offset + 5),
                            Arrays.copyOfRange(frame.array(), range[0], range[0] + range[1]));
        }
    }

    private void startInstance(long now, int offset, int balancer) {
        int[] range = tailRange(offset + 13, 1);
        String text = new String(frame.array(), range[0], range[1], StandardCharsets.UTF_8);
        PolicySettings settings = parseSettings(text);
        if (settings.classes().isEmpty()) {
            throw new WireException("settings of balancer " + balancer + " name no request class");
        }
        Router router = new Router(settings, frame.getLong(offset + 5), reply.actionsOf(balancer));
        instances.put(
                balancer,
                new Instance(
                        router,
                        settings.classes().size(),
                        SimulatedGossip.createIfEnabled(
                                gossipEnabled,
                                reply,
                                balancer,
                                now,
                                frame.getLong(offset + 5),
                                settings.instanceIndex(),
                                settings.instanceCount(),
                                text,
                                router)));
    }

    private void readServerList(int offset) {
        int[] range = tailRange(offset + 2, LIST_ENTRY_BYTES);
        List<Server> servers = new ArrayList<>(range[1]);
        for (int i = 0; i < range[1]; i++) {
            int entryOffset = range[0] + i * LIST_ENTRY_BYTES;
            int state = frame.get(entryOffset + 11);
            if (state < 0 || state > 2) {
                throw new WireException("unknown server condition " + state);
            }
            servers.add(
                    new Server(
                            readServerAddress(entryOffset),
                            readUnsignedShort(entryOffset + 6),
                            frame.get(entryOffset + 8) & 0xff,
                            readUnsignedShort(entryOffset + 9),
                            EndpointState.values()[state],
                            frame.getFloat(entryOffset + 12),
                            frame.getLong(entryOffset + 16)));
        }
        serverLists.set(readListNumber(offset + 1), List.copyOf(servers));
    }

    private int readListNumber(int offset) {
        int number = frame.get(offset) & 0xff;
        if (number >= MAX_LISTS) {
            throw new WireException("impossible list number " + number);
        }
        return number;
    }

    private EndpointUpdateMode readListMode(int offset) {
        int mode = frame.get(offset + 5) & 0xff;
        if (mode >= EndpointUpdateMode.values().length) {
            throw new WireException("unknown list mode " + mode);
        }
        return EndpointUpdateMode.values()[mode];
    }

    private List<Server> serverListOf(int offset) {
        if (readListMode(offset) == EndpointUpdateMode.FAILED) {
            return List.of();
        }
        int number = readListNumber(offset + 14);
        if (serverLists.get(number) == null) {
            throw new WireException("list " + number + " was never sent");
        }
        return serverLists.get(number);
    }

    private Request readRequest(int offset, int classCount) {
        int attributes = frame.get(offset + 47);
        int requestClass = readUnsignedShort(offset + 13);
        if (requestClass >= classCount) {
            throw new WireException("unknown request class " + requestClass);
        }
        return new Request(
                frame.getLong(offset + 5),
                requestClass,
                frame.getInt(offset + 15) & Integer.MAX_VALUE,
                frame.getLong(offset + 19),
                frame.getLong(offset + 27),
                (attributes & ATTR_WORK_HINT) != 0 ? frame.getLong(offset + 35) : 0,
                (attributes & ATTR_CLIENT_RETRY) != 0,
                (attributes & ATTR_WRITE) != 0);
    }

    private AttemptOutcome readOutcome(int offset) {
        int code = readUnsignedShort(offset + 21);
        AttemptResult reason =
                switch (code) {
                    case 200 -> AttemptResult.OK;
                    case 204 -> AttemptResult.MISS;
                    case 408 -> AttemptResult.TIMEOUT;
                    case 409 -> AttemptResult.SUPERSEDED;
                    case 429 -> AttemptResult.REJECTED;
                    case 444 -> AttemptResult.CANCELLED;
                    case 502 -> AttemptResult.ERROR;
                    case 520 -> AttemptResult.RESET;
                    case 521 -> AttemptResult.CONNECT_FAILED;
                    default -> throw new WireException("unknown outcome " + code);
                };
        int reportLength = Math.min(4, frame.get(offset + 36) & 0xff);
        float[] loadReport = reportLength == 0 ? NO_REPORT : new float[reportLength];
        for (int i = 0; i < reportLength; i++) {
            loadReport[i] = frame.getFloat(offset + 37 + 4 * i);
        }
        ResponseSource source =
                switch (frame.getInt(offset + 32)) {
                    case 1 -> ResponseSource.CACHE;
                    case 2, 3 -> ResponseSource.ORIGIN;
                    default -> ResponseSource.UNKNOWN;
                };
        return new AttemptOutcome(
                frame.getLong(offset + 5),
                readUnsignedShort(offset + 13),
                reason,
                frame.getLong(offset + 23),
                frame.get(offset + 31) != 0,
                source,
                loadReport);
    }

    /** Start and count of a piece of the tail, checked against the frame's end. */
    private int[] tailRange(int fieldOffset, int itemBytes) {
        long offset = frame.getInt(fieldOffset) & 0xffffffffL;
        long count = frame.getInt(fieldOffset + 4) & 0xffffffffL;
        if (tailOffset + offset + count * itemBytes > frame.capacity()) {
            throw new WireException(
                    "a record points past the end of its frame: offset "
                            + offset
                            + ", length "
                            + count);
        }
        return new int[] {(int) (tailOffset + offset), (int) count};
    }

    private long readServerAddress(int offset) {
        return frame.getInt(offset) & 0xffffffffL | (long) readUnsignedShort(offset + 4) << 32;
    }

    private int readUnsignedShort(int offset) {
        return frame.getShort(offset) & 0xffff;
    }
}
