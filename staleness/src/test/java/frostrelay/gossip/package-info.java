/** Access to package-private parts of the gossip package for the tests of this module. */
package frostrelay.gossip;
