/** Finds the route of a request: exact host, then the longest path prefix. */
import type { Route, RoutedConfiguration, WeightedService } from "@linkfall/types";
import murmurhash from "murmurhash";

const hashRange = 0x1_0000_0000;

/** Routes by host, longest prefix first. */
export interface RouteTable {
  find(host: string, path: string): Route | undefined;
}

/** The path of a request target, without its query. */
function stripQuery(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** A host in the form in which it is compared: lower case and without a port. */
export function normalizeHost(host: string): string {
  const port = host.lastIndexOf(":");
  const name = port > 0 && !host.endsWith("]") ? host.slice(0, port) : host;
  return name.toLowerCase();
}

/** Builds the table of a configuration. */
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

/** The service that a request goes to: the same for the same request on every box. */
export function selectShare(route: Route, requestId: string): WeightedService {
  const total = route.weightedServices.reduce((sum, share) => sum + share.weight, 0);
  let point = (murmurhash.v3(requestId) / hashRange) * total;
  for (const share of route.weightedServices) {
    if (point < share.weight) return share;
    point -= share.weight;
  }
  return route.weightedServices[0];
}
