/** The regions to which a request may be sent. */
import type { ServingCustomer, ServingRoute } from '@hickoryspoke/configuration/serving-configuration'

/** Combines the restrictions of route and customer, which both apply. Undefined if there is none; an empty list allows no region. */
export function allowedRegionsOf (route: ServingRoute, customer: ServingCustomer | undefined): readonly string[] | undefined {
  const ofRoute = route.allowedRegions
  const ofCustomer = customer?.allowedRegions
  if (ofRoute === undefined || ofCustomer === undefined) return ofRoute ?? ofCustomer
  return ofRoute.filter((region) => ofCustomer.includes(region))
}
