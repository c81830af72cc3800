package org.mulleinshift.settings;

/** A settings file that cannot be used; the message names the file and the key. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** An error with a message for the operators. */
  public SettingsException(String message) {
    super(message);
  }
}
