/**
 * The administrators' HTTP interface: readiness, drains of this balancer and of cache servers,
 * staleness overrides and the audit.
 *
 * <p>{@link frostrelay.node.admin.AdminServer} limits connections, sizes and times; {@code
 * AdminRoutes} maps paths to {@link frostrelay.node.admin.AdminOperations}, which the node
 * implements. Everything runs on the balancer's event loop and never blocks it.
 */
package frostrelay.node.admin;
