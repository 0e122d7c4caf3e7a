/**
 * The balancer's configuration: reading, validation, replacement at run time and the part that
 * balancers of a tier share.
 *
 * <p>{@link frostrelay.node.config.Config} is the parsed configuration and {@link
 * frostrelay.node.config.DeploymentSettings} its settings; both are replaced, never changed, except
 * that new zone and kind names get numbers. A replacement keeps the numbers of all names, as the
 * decision module knows classes, tenants, zones and kinds by number. Invalid input is reported as
 * {@link frostrelay.node.config.ConfigException} with a one-line message that names the key.
 *
 * <p>Only {@link frostrelay.node.config.ConfigFile} does I/O, and is synchronized; all other
 * classes belong to the event loop.
 */
package frostrelay.node.config;
