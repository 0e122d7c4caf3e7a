/**
 * Structured logging: a fixed set of events, each a line of JSON or text with named fields.
 *
 * <p>{@link frostrelay.node.log.Event} declares every event; {@code docs/events.md} is generated
 * from it. {@link frostrelay.node.log.Log} writes events and may be called from any thread. {@link
 * frostrelay.node.log.LogSetup} configures Logback in code. Values and keys of clients are never
 * logged, and the lines that peers or libraries can cause are limited in number and length.
 */
package frostrelay.node.log;
