/** Matches requests to routes by exact host and longest path prefix. */
import type { Route, RoutedConfiguration, WeightedService } from "@linkfall/types";
import murmurhash from "murmurhash";

/** Number of values of the 32-bit hash. */
const hashRange = 0x1_0000_0000;

/** The routes of one configuration. */
export interface RouteTable {
  /** The route with the longest prefix of the path for the host; a query in `path` is ignored. */
  find(host: string, path: string): Route | undefined;
}

/** Removes the query from a request target. */
function stripQuery(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** Normalizes a host for comparison: lower case and without a port. */
export function normalizeHost(host: string): string {
  const port = host.lastIndexOf(":");
  const name = port > 0 && !host.endsWith("]") ? host.slice(0, port) : host;
  return name.toLowerCase();
}

/** Builds the route table of a configuration. */
export function createRouteTable(configuration: RoutedConfiguration): RouteTable {
  const byHost = new Map<string, Route[]>();
  for (const route of configuration.routes) {
    const host = normalizeHost(route.host);
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  }
  for (const routes of byHost.values()) {
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  return {
    find(host, target) {
      const path = stripQuery(target);
      return byHost.get(normalizeHost(host))?.find((route) => path.startsWith(route.pathPrefix));
    },
  };
}

/** Selects a weighted share by hashing the request id, so that every box selects the same one. */
export function selectShare(route: Route, requestId: string): WeightedService {
  const total = route.weightedServices.reduce((sum, share) => sum + share.weight, 0);
  let remainder = (murmurhash.v3(requestId) / hashRange) * total;
  for (const share of route.weightedServices) {
    if (remainder < share.weight) return share;
    remainder -= share.weight;
  }
  return route.weightedServices[0];
}
