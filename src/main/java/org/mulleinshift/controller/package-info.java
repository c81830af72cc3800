/** One controller process: joins all parts and dispatches requests and peer messages to them. */
package org.mulleinshift.controller;
