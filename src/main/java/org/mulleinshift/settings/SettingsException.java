package org.mulleinshift.settings;

/**
 * Thrown when a settings file is unreadable or invalid; the message names the file and, for an
 * invalid setting, its key.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message is shown to the operators. */
  public SettingsException(String message) {
    super(message);
  }
}
