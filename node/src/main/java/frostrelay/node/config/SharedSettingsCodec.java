package frostrelay.node.config;

import com.fasterxml.jackson.jr.ob.JSON;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * What all balancers of a tier share of a configuration, the settings but for those of one balancer
 * and the operators' number, as bytes that can be handed to another.
 */
public final class SharedSettingsCodec {
    /** A hundred times what a configuration has: what unpacks to more is none. */
    private static final int MAX_INFLATED_BYTES = 512 * 1024;

    private static final int BUFFER_BYTES = 4096;

    private SharedSettingsCodec() {}

    public static byte[] encode(Map<?, ?> json) {
        Map<String, Object> shared = new TreeMap<>();
        shared.put("version", json.get("version"));
        Map<String, Object> settings = copy(Json.get(json, "settings", Map.class));
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
     * A running configuration with what another balancer packed in place of its own; throws {@link
     * ConfigException} where that is nothing of the kind or has another digest.
     */
    public static Map<?, ?> withSharedSettings(Map<?, ?> running, byte[] encoded, long digest) {
        Map<?, ?> shared = Json.parse(inflate(encoded));
        Map<String, Object> settings = copy(Json.get(shared, "settings", Map.class));
        settings.keySet().removeAll(DeploymentSettings.LOCAL_KEYS);
        if (Digests.of(DeploymentSettings.sharedText(settings)) != digest) {
            throw new ConfigException(
                    "the settings that were handed over are not those that were asked for");
        }
        Map<?, ?> localSettings = Json.get(running, "settings", Map.class);
        for (String name : DeploymentSettings.LOCAL_KEYS) {
            if (localSettings.get(name) != null) {
                settings.put(name, localSettings.get(name));
            }
        }
        Map<String, Object> newConfig = copy(running);
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
                    throw new ConfigException("what was handed over cannot be unpacked");
                }
                out = length == out.length ? Arrays.copyOf(out, out.length * 2) : out;
            }
            return Arrays.copyOf(out, length);
        } catch (DataFormatException e) {
            throw new ConfigException("what was handed over cannot be unpacked");
        } finally {
            inflater.end();
        }
    }

    private static Map<String, Object> copy(Map<?, ?> object) {
        Map<String, Object> copy = new LinkedHashMap<>();
        object.forEach((name, value) -> copy.put(String.valueOf(name), value));
        return copy;
    }
}
