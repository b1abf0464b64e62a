/** Tracks the active configuration. Older versions and invalid records are ignored. */
import { createKeyTable, type KeyTable } from "@linkfall/account-keys";
import type { ConfigurationCopy } from "@linkfall/box-peers";
import { describeProblems } from "@linkfall/errors";
import type { Fleet } from "@linkfall/fleet";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { RecordCodec } from "@linkfall/ports";
import { createRouteTable, type RouteTable } from "@linkfall/route-table";
import type { Milliseconds, RoutedConfiguration } from "@linkfall/types";

/** A configuration with the tables built from it. */
export interface ActiveConfiguration {
  readonly configuration: RoutedConfiguration;
  readonly routes: RouteTable;
  /** Absent if callers need no keys. */
  readonly keys?: KeyTable;
  /** When this box activated the configuration. */
  readonly activeSince: Milliseconds;
}

/** Holds the newest valid configuration. */
export interface ConfigurationTracker {
  active(): ActiveConfiguration | undefined;
  /** Version of the active configuration; -1 if there is none. */
  version(): number;
  /** Returns the active configuration as it is stored, for other boxes. */
  copy(): ConfigurationCopy;
  /** Activates a stored record, read by this box or received from another one, if it is valid and newer. */
  apply(text: string, from: "store" | "box"): void;
}

/** Dependencies of the tracker. */
export interface ConfigurationTrackerInput {
  readonly codec: RecordCodec;
  readonly fleet: Fleet;
  readonly configurationKey: string;
}

const noVersion = -1;

/** Creates a tracker without an active configuration. */
export function createConfigurationTracker(
  clock: Clock,
  logger: Logger,
  { codec, fleet, configurationKey }: ConfigurationTrackerInput,
): ConfigurationTracker {
  let active: ActiveConfiguration | undefined;
  let activeText: string | undefined;
  const version = () => active?.configuration.version ?? noVersion;

  const activate = (configuration: RoutedConfiguration, text: string, from: string) => {
    if (configuration.version <= version()) return;
    active = {
      configuration,
      routes: createRouteTable(configuration),
      keys: configuration.accounts && createKeyTable(configuration.accounts),
      activeSince: clock.now(),
    };
    activeText = text;
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
    active: () => active,
    version,
    copy: () => ({ version: version(), text: activeText }),
    apply(text, from) {
      codec.parseConfiguration(text).caseOf({
        Left: (invalid) => {
          const problem = describeProblems(invalid);
          logger.event("badRecord", { key: configurationKey, problem });
        },
        Right: (configuration) => activate(configuration, text, from),
      });
    },
  };
}
