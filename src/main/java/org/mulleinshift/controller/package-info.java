/**
 * One controller process: builds and connects all components, routes requests, exchanges messages
 * and heartbeats with the other controllers, and starts and ends this controller's terms as leader.
 */
package org.mulleinshift.controller;
