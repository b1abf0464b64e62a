/** Holds the newest configuration. A version never goes back, and a broken record changes nothing. */
import { createKeyTable, type KeyTable } from "@linkfall/account-keys";
import type { ConfigurationCopy } from "@linkfall/box-peers";
import { describeProblems } from "@linkfall/errors";
import type { Fleet } from "@linkfall/fleet";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { RecordCodec } from "@linkfall/ports";
import { createRouteTable, type RouteTable } from "@linkfall/route-table";
import type { Milliseconds, RoutedConfiguration } from "@linkfall/types";

/** One configuration with the table that is built of it. */
export interface ActiveConfiguration {
  readonly configuration: RoutedConfiguration;
  readonly routes: RouteTable;
  /** Absent where callers need no keys. */
  readonly keys?: KeyTable;
  readonly activeSince: Milliseconds;
}

export interface ConfigurationTracker {
  active(): ActiveConfiguration | undefined;
  /** -1 before the first. */
  version(): number;
  copy(): ConfigurationCopy;
  /** Takes a record as the store gave it, read here or by another box. */
  apply(text: string, from: "store" | "box"): void;
}

export interface ConfigurationTrackerInput {
  readonly codec: RecordCodec;
  readonly fleet: Fleet;
  readonly configurationKey: string;
}

const noVersion = -1;

export function createConfigurationTracker(
  clock: Clock,
  logger: Logger,
  { codec, fleet, configurationKey }: ConfigurationTrackerInput,
): ConfigurationTracker {
  let inForce: ActiveConfiguration | undefined;
  let inForceText: string | undefined;
  const version = () => inForce?.configuration.version ?? noVersion;

  const putInForce = (configuration: RoutedConfiguration, text: string, from: string) => {
    if (configuration.version <= version()) return;
    inForce = {
      configuration,
      routes: createRouteTable(configuration),
      keys: configuration.accounts && createKeyTable(configuration.accounts),
      activeSince: clock.now(),
    };
    inForceText = text;
    const shapes = [...configuration.services.values()].map(
      (service) => [service.name, service.engine] as const,
    );
    fleet.setEngineShapes(new Map(shapes));
    logger.event("configurationInForce", {
      version: configuration.version,
      routes: configuration.routes.length,
      accounts: configuration.accounts?.length,
      from,
    });
  };

  return {
    active: () => inForce,
    version,
    copy: () => ({ version: version(), text: inForceText }),
    apply(text, from) {
      codec.parseConfiguration(text).caseOf({
        Left: (invalid) => {
          const problem = describeProblems(invalid);
          logger.event("badRecord", { key: configurationKey, problem });
        },
        Right: (configuration) => putInForce(configuration, text, from),
      });
    },
  };
}
