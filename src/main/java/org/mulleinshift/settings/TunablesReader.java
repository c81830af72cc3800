package org.mulleinshift.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/** Reads and validates the operators' YAML file. */
public final class TunablesReader {
  private TunablesReader() {}

  /**
   * Reads the settings from a file; an empty file yields the defaults.
   *
   * @throws SettingsException if the file can't be read, or contains an unknown key or an invalid
   *     value
   */
  public static Tunables read(Path path) throws SettingsException {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
    Object root;
    try {
      root =
          new Load(LoadSettings.builder().setLabel(path.toString()).build()).loadFromString(text);
    } catch (YamlEngineException e) {
      String reason = e.getMessage().lines().findFirst().orElse("");
      throw new SettingsException(path + ": not valid YAML: " + reason);
    }
    if (root == null) {
      return Tunables.defaults();
    }
    if (!(root instanceof Map<?, ?> entries)) {
      throw new SettingsException(path + ": the file must be a mapping of settings");
    }
    return Tunables.parse(path.toString(), entries);
  }
}
