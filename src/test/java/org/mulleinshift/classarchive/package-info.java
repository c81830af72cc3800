/**
 * Trains the class-data archive of the program: at build time the packaged program runs once as a
 * process of its own, beside small simulated services, and leaves the archive when it ends.
 */
package org.mulleinshift.classarchive;
