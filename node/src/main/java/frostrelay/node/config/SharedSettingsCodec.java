package frostrelay.node.config;

import com.fasterxml.jackson.jr.ob.JSON;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Encodes the part of a configuration that all balancers of a tier share: the version number and
 * the settings without the keys of a single balancer. A peer can decode and apply it.
 */
public final class SharedSettingsCodec {
    /** Limit on inflated settings, a hundred times the size of a usual configuration. */
    private static final int MAX_INFLATED_BYTES = 512 * 1024;

    private static final int BUFFER_BYTES = 4096;
    private static final String INFLATE_FAILED =
            "the settings received from a peer cannot be decompressed";

    private SharedSettingsCodec() {}

    /**
     * Encodes the shared part of a configuration as deflated JSON.
     *
     * @throws ConfigException if it has no settings
     */
    public static byte[] encode(Map<?, ?> json) {
        Map<String, Object> shared = new TreeMap<>();
        shared.put("version", json.get("version"));
        Map<String, Object> settings = Json.copy(Json.get(json, "settings", Map.class));
        settings.keySet().removeAll(DeploymentSettings.LOCAL_KEYS);
        shared.put("settings", settings);
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION);
        try {
            byte[] jsonBytes = JSON.std.asBytes(shared);
            deflater.setInput(jsonBytes);
            deflater.finish();
            byte[] out = new byte[jsonBytes.length + BUFFER_BYTES];
            int length = 0;
            while (!deflater.finished()) {
                length += deflater.deflate(out, length, out.length - length);
            }
            return Arrays.copyOf(out, length);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            deflater.end();
        }
    }

    /**
     * Returns the running configuration with its shared part replaced by a peer's encoded settings.
     *
     * @param digest the expected digest of the peer's shared settings
     * @throws ConfigException if the bytes cannot be decoded or have another digest
     */
    public static Map<?, ?> withSharedSettings(Map<?, ?> running, byte[] encoded, long digest) {
        Map<?, ?> shared = Json.parse(inflate(encoded));
        Map<String, Object> settings = Json.copy(Json.get(shared, "settings", Map.class));
        settings.keySet().removeAll(DeploymentSettings.LOCAL_KEYS);
        if (Digests.of(DeploymentSettings.sharedText(settings)) != digest) {
            throw new ConfigException(
                    "the settings received from a peer do not match the requested digest");
        }
        Map<?, ?> localSettings = Json.get(running, "settings", Map.class);
        for (String name : DeploymentSettings.LOCAL_KEYS) {
            if (localSettings.get(name) != null) {
                settings.put(name, localSettings.get(name));
            }
        }
        Map<String, Object> newConfig = Json.copy(running);
        newConfig.put("settings", settings);
        newConfig.put("version", Json.get(shared, "version", Number.class));
        return newConfig;
    }

    private static byte[] inflate(byte[] deflated) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            byte[] out = new byte[BUFFER_BYTES];
            int length = 0;
            while (!inflater.finished()) {
                int inflatedBytes = inflater.inflate(out, length, out.length - length);
                length += inflatedBytes;
                if (inflatedBytes == 0 && (inflater.needsInput() || inflater.needsDictionary())
                        || length >= MAX_INFLATED_BYTES) {
                    throw new ConfigException(INFLATE_FAILED);
                }
                out = length == out.length ? Arrays.copyOf(out, out.length * 2) : out;
            }
            return Arrays.copyOf(out, length);
        } catch (DataFormatException e) {
            throw new ConfigException(INFLATE_FAILED, e);
        } finally {
            inflater.end();
        }
    }
}
