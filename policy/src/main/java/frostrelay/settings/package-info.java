/**
 * Parsing of the balancer settings that arrive as {@code key=value} lines into {@link
 * frostrelay.policy.api.PolicySettings}.
 *
 * <p>The node and the simulator adapter share this parser, so that both interpret a text in the
 * same way. The package has no state and does no I/O; it may be used from any thread. A value that
 * cannot be used is reported as {@link frostrelay.settings.SettingsException}, which names the key.
 */
package frostrelay.settings;
