package frostrelay.node.memcache;

import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.RequestClass;

import java.util.List;

/**
 * Validates a client's {@code mg} or {@code ms} line and converts it to a {@link MetaCommand}. Runs
 * for each request, so it uses plain loops: streams are slow for a long time after a start.
 */
public final class MetaCommandParser {
    private static final int MAX_KEY_LENGTH = 250;
    private static final int MAX_OPAQUE_LENGTH = 32;

    /**
     * Limit on the estimate of the work, one hour; larger values are reduced to it as implausible.
     */
    private static final long MAX_WORK_MICROS = 3_600_000_000L;

    private static final long NANOS_PER_MICROSECOND = 1000;

    private static final int KEY_TOKEN_INDEX = 1;
    private static final int FIRST_READ_FLAG_INDEX = 2;
    private static final int FIRST_WRITE_FLAG_INDEX = 3;

    private static final char OPAQUE_FLAG = 'O';
    private static final char PARAMETERS_FLAG = 'P';
    private static final String VALUE_FLAG = "v";

    private static final String CLASS_PARAMETER = "c";
    private static final String TENANT_PARAMETER = "t";
    private static final String TIMEOUT_PARAMETER = "d";
    private static final String IDEMPOTENCY_KEY_PARAMETER = "k";
    private static final String RETRY_PARAMETER = "r";
    private static final String WORK_PARAMETER = "h";

    private MetaCommandParser() {}

    /**
     * Parses a complete frame whose command is {@code mg} or {@code ms}.
     *
     * @throws MalformedCommandException if the frame is not a command that can be served; its
     *     message is the response to the client
     */
    public static MetaCommand parse(MetaFrame frame, DeploymentSettings deploymentSettings)
            throws MalformedCommandException {
        boolean isWrite = frame.tokenEquals(0, "ms");
        String key = parseKey(frame.tokens());
        int firstFlagIndex = isWrite ? FIRST_WRITE_FLAG_INDEX : FIRST_READ_FLAG_INDEX;
        boolean wantsValue = checkFlags(frame.tokens(), firstFlagIndex);
        String opaque = frame.flagToken(firstFlagIndex, OPAQUE_FLAG);
        if (opaque == null || opaque.isEmpty() || opaque.length() > MAX_OPAQUE_LENGTH) {
            throw new MalformedCommandException("bad or missing opaque");
        }
        if (wantsValue == isWrite) {
            throw new MalformedCommandException(isWrite ? "ms takes no v" : "mg needs v");
        }
        String parameterList = frame.flagToken(firstFlagIndex, PARAMETERS_FLAG);
        String[] parameters = parameterList == null ? new String[0] : parameterList.split(",", -1);
        int requestClass =
                requireKnown(
                        deploymentSettings.classNumber(parameter(parameters, CLASS_PARAMETER)),
                        "class");
        int tenant =
                requireKnown(
                        deploymentSettings.tenantNumber(parameter(parameters, TENANT_PARAMETER)),
                        "tenant");
        RequestClass classSettings = deploymentSettings.policySettings.classes().get(requestClass);
        long clientTimeoutMillis = parseTimeoutMillis(parameters, classSettings);
        if (classSettings.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && parameter(parameters, IDEMPOTENCY_KEY_PARAMETER) == null) {
            // Without this key servers cannot recognize a retry.
            throw new MalformedCommandException("missing k");
        }
        boolean isClientRetry = "1".equals(parameter(parameters, RETRY_PARAMETER));
        long expectedWorkNanos =
                Math.min(MAX_WORK_MICROS, nonNegativeParameter(parameters, WORK_PARAMETER, 0))
                        * NANOS_PER_MICROSECOND;
        return new MetaCommand(
                isWrite,
                key,
                opaque,
                frame.data(),
                requestClass,
                tenant,
                clientTimeoutMillis,
                isClientRetry,
                expectedWorkNanos,
                parameters,
                checkParameters(parameters));
    }

    private static String parseKey(List<String> tokens) throws MalformedCommandException {
        if (tokens.size() <= KEY_TOKEN_INDEX
                || tokens.get(KEY_TOKEN_INDEX).length() > MAX_KEY_LENGTH) {
            throw new MalformedCommandException("bad key");
        }
        return tokens.get(KEY_TOKEN_INDEX);
    }

    /**
     * Rejects unsupported flags and repeated ones, which could be forwarded in a form that no
     * client sent. Returns whether the client requested the value.
     */
    private static boolean checkFlags(List<String> tokens, int firstFlagIndex)
            throws MalformedCommandException {
        boolean hasOpaque = false;
        boolean hasParameters = false;
        boolean wantsValue = false;
        for (int i = firstFlagIndex; i < tokens.size(); i++) {
            String flag = tokens.get(i);
            if (flag.charAt(0) == OPAQUE_FLAG && !hasOpaque) {
                hasOpaque = true;
            } else if (flag.charAt(0) == PARAMETERS_FLAG && !hasParameters) {
                hasParameters = true;
            } else if (flag.equals(VALUE_FLAG) && !wantsValue) {
                wantsValue = true;
            } else {
                throw new MalformedCommandException("unknown flag");
            }
        }
        return wantsValue;
    }

    private static int requireKnown(Integer number, String description)
            throws MalformedCommandException {
        if (number == null) {
            throw new MalformedCommandException("unknown " + description);
        }
        return number;
    }

    /**
     * Returns the client's timeout, limited to the deadline of the request's class, as a longer one
     * would hold resources without benefit to any client of that class.
     */
    private static long parseTimeoutMillis(String[] parameters, RequestClass classSettings)
            throws MalformedCommandException {
        long timeoutMillis =
                Math.min(
                        classSettings.deadlineNanos() / Clock.NANOS_PER_MILLISECOND,
                        nonNegativeParameter(parameters, TIMEOUT_PARAMETER, -1));
        if (timeoutMillis < 0) {
            throw new MalformedCommandException("missing d");
        }
        return timeoutMillis;
    }

    private static String parameter(String[] parameters, String name) {
        for (String parameter : parameters) {
            if (parameter.startsWith(name) && parameter.startsWith("=", name.length())) {
                return parameter.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Returns the value of a numeric parameter, or the default if the parameter is absent. */
    private static long nonNegativeParameter(String[] parameters, String name, long defaultValue)
            throws MalformedCommandException {
        String text = parameter(parameters, name);
        try {
            long number = text == null ? defaultValue : Long.parseLong(text);
            if (text == null || number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a negative number.
        }
        throw new MalformedCommandException("bad " + name);
    }

    /**
     * Rejects parameters without a name and repeated ones. Returns the index of the timeout, which
     * is replaced when the command is forwarded.
     */
    private static int checkParameters(String[] parameters) throws MalformedCommandException {
        int timeoutIndex = -1;
        for (int i = 0; i < parameters.length; i++) {
            String name = parameters[i].substring(0, parameters[i].indexOf('=') + 1);
            if (name.isEmpty() || isNamedBefore(parameters, i, name)) {
                throw new MalformedCommandException("bad list of figures");
            }
            timeoutIndex = name.equals("d=") ? i : timeoutIndex;
        }
        return timeoutIndex;
    }

    private static boolean isNamedBefore(String[] parameters, int index, String name) {
        for (int i = 0; i < index; i++) {
            if (parameters[i].startsWith(name)) {
                return true;
            }
        }
        return false;
    }
}
