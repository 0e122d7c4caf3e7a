package frostrelay.node.memcache;

import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.proxy.ClientRequest;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.RequestClass;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;

import java.nio.charset.StandardCharsets;

/** A client's read or write, checked, with what is needed to pass it on in the same words. */
public final class MetaCommand implements ClientRequest {
    private static final int MAX_KEY_LENGTH = 250;
    private static final int MAX_OPAQUE_LENGTH = 32;
    private static final int MAX_HEX_KEY_LENGTH = 16;

    /** A longer guess at the work is cut to this, in microseconds: no client means it. */
    private static final long MAX_WORK_MICROS = 3_600_000_000L;

    /** A command that cannot be taken; the message is the answer. */
    public static final class MalformedCommandException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedCommandException(String description) {
            super("CLIENT_ERROR " + description, null, false, false);
        }
    }

    private final boolean write;
    private final String key;
    private final String opaque;
    private final byte[] value;
    private final int requestClass;
    private final int tenant;
    private final long clientTimeoutMillis;
    private final boolean clientRetry;

    /** Expected work in nanoseconds, 0 if not told. */
    private final long expectedWorkNanos;

    private final String[] parameters;
    private int timeoutParameterIndex = -1;

    public MetaCommand(MetaFrame frame, DeploymentSettings deploymentSettings)
            throws MalformedCommandException {
        write = frame.tokenEquals(0, "ms");
        value = frame.data();
        if (frame.tokens().size() < 2 || frame.tokens().get(1).length() > MAX_KEY_LENGTH) {
            throw new MalformedCommandException("bad key");
        }
        key = frame.tokens().get(1);
        int firstFlagIndex = write ? 3 : 2;
        String id = null;
        String parameterList = null;
        boolean wantsValue = false;
        for (String word : frame.tokens().subList(firstFlagIndex, frame.tokens().size())) {
            // Said twice, a flag could be passed on in a form that no client sent: it counts as
            // unknown.
            if (word.charAt(0) == 'O' && id == null) {
                id = word.substring(1);
            } else if (word.charAt(0) == 'P' && parameterList == null) {
                parameterList = word.substring(1);
            } else if (word.equals("v") && !wantsValue) {
                wantsValue = true;
            } else {
                throw new MalformedCommandException("unknown flag");
            }
        }
        if (id == null || id.isEmpty() || id.length() > MAX_OPAQUE_LENGTH) {
            throw new MalformedCommandException("bad or missing opaque");
        }
        if (wantsValue == write) {
            throw new MalformedCommandException(write ? "ms takes no v" : "mg needs v");
        }
        opaque = id;
        parameters = parameterList == null ? new String[0] : parameterList.split(",", -1);
        requestClass = requireKnown(deploymentSettings.classNumber(parameter("c")), "class");
        tenant = requireKnown(deploymentSettings.tenantNumber(parameter("t")), "tenant");
        RequestClass classSettings = deploymentSettings.policySettings.classes().get(requestClass);
        // No client of this class waits longer: an hour asked for would hold its place for an hour.
        clientTimeoutMillis =
                Math.min(
                        classSettings.deadlineNanos() / Clock.NANOS_PER_MILLISECOND,
                        nonNegativeParameter("d", -1));
        if (clientTimeoutMillis < 0) {
            throw new MalformedCommandException("missing d");
        }
        if (classSettings.idempotency() == Idempotency.IDEMPOTENCY_KEY && parameter("k") == null) {
            // Without it hosts cannot tell a repeat.
            throw new MalformedCommandException("missing k");
        }
        clientRetry = "1".equals(parameter("r"));
        expectedWorkNanos = Math.min(MAX_WORK_MICROS, nonNegativeParameter("h", 0)) * 1000;
        for (int i = 0; i < parameters.length; i++) {
            String name = parameters[i].substring(0, parameters[i].indexOf('=') + 1);
            boolean isInvalid = name.isEmpty();
            for (int j = 0; j < i && !isInvalid; j++) {
                isInvalid = parameters[j].startsWith(name);
            }
            if (isInvalid) {
                throw new MalformedCommandException("bad list of figures");
            }
            timeoutParameterIndex = name.equals("d=") ? i : timeoutParameterIndex;
        }
    }

    private static int requireKnown(Integer number, String description)
            throws MalformedCommandException {
        if (number == null) {
            throw new MalformedCommandException("unknown " + description);
        }
        return number;
    }

    /**
     * In plain loops, as all that each request runs through: streams are slow for long after a
     * start.
     */
    private String parameter(String name) {
        for (String parameter : parameters) {
            if (parameter.startsWith(name) && parameter.startsWith("=", name.length())) {
                return parameter.substring(name.length() + 1);
            }
        }
        return null;
    }

    private long nonNegativeParameter(String name, long defaultValue)
            throws MalformedCommandException {
        String text = parameter(name);
        try {
            long number = text == null ? defaultValue : Long.parseLong(text);
            if (text == null || number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new MalformedCommandException("bad " + name);
    }

    @Override
    public String id() {
        return opaque;
    }

    @Override
    public int requestClass() {
        return requestClass;
    }

    @Override
    public int tenant() {
        return tenant;
    }

    @Override
    public long clientTimeoutMillis() {
        return clientTimeoutMillis;
    }

    @Override
    public long expectedWorkNanos() {
        return expectedWorkNanos;
    }

    @Override
    public boolean isClientRetry() {
        return clientRetry;
    }

    @Override
    public boolean isWrite() {
        return write;
    }

    @Override
    public int sizeBytes() {
        return value == null ? 0 : value.length;
    }

    /**
     * The key as the module's number: hexadecimal keys as they are, others by a hash all balancers
     * share.
     */
    @Override
    public long numericKey() {
        try {
            if (key.length() <= MAX_HEX_KEY_LENGTH) {
                return Long.parseUnsignedLong(key, 16);
            }
        } catch (NumberFormatException e) {
            // Any other name for a key.
        }
        return EndpointList.serverId(key);
    }

    /** The bytes for a cache host: all as it came, but for how long is left to wait. */
    @Override
    public ByteBuf encode(ByteBufAllocator alloc, long remainingMillis) {
        String[] forwardedParameters = parameters.clone();
        forwardedParameters[timeoutParameterIndex] = "d=" + remainingMillis;
        String line =
                (write ? "ms " + key + " " + value.length : "mg " + key + " v")
                        + " O"
                        + opaque
                        + " P"
                        + String.join(",", forwardedParameters)
                        + "\r\n";
        return encodeLine(alloc, line, value);
    }

    /** A line and, behind it, a data block if there is one. */
    public static ByteBuf encodeLine(ByteBufAllocator alloc, String line, byte[] data) {
        ByteBuf bytes = alloc.buffer(line.length() + (data == null ? 0 : data.length + 2));
        bytes.writeCharSequence(line, StandardCharsets.ISO_8859_1);
        if (data != null) {
            bytes.writeBytes(data);
            ByteBufUtil.writeShortBE(bytes, '\r' << 8 | '\n');
        }
        return bytes;
    }
}
