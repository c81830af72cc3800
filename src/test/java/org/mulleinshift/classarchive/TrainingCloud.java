package org.mulleinshift.classarchive;

import com.sun.net.httpserver.HttpExchange;
import java.util.Optional;

/** Simulated cloud with one machine type and one machine, which is always running. */
final class TrainingCloud implements TrainingServer.Service {
  private static final String CATALOG =
      "{\"builds\":[{\"label\":\"r\",\"cpus\":8,\"cards\":0,\"ram_gb\":32,\"local_gb\":20,"
          + "\"pull_gb_per_s\":1.0,\"rate\":1.0,\"market_price\":0.5,\"startup_s\":1,"
          + "\"yards\":[\"here\"]}]}";
  private static final String MACHINES =
      "{\"hosts\":[{\"ref\":\"i-1\",\"addr\":\"127.0.0.1:1\",\"build\":\"r\",\"yard\":\"here\","
          + "\"loaner\":true,\"phase\":\"running\",\"held_s\":5}],\"more\":false}";
  private static final String PROVISIONED = "{\"hosts\":[\"i-1\"]}";

  @Override
  public Optional<String> answer(HttpExchange exchange, String body) {
    if (exchange.getRequestURI().getPath().equals("/catalog")) {
      return Optional.of(CATALOG);
    }
    boolean list = exchange.getRequestMethod().equals("GET");
    return Optional.of(list ? MACHINES : PROVISIONED);
  }
}
