/** RPC methods that block this daemon's connections to others, for failure drills and measurements; none unless the settings allow drills. */
import type * as rpc from '@switchridge/rpc'
import type * as createCommonParts from '../createCommonParts/index.js'
import * as schemas from './schemas.js'

export function createDrillMethods (parts: createCommonParts.CommonParts): Record<string, rpc.RpcMethod> {
  if (!parts.settings.experiments.drills) return {}
  return {
    'drill.cut': (params) => {
      const { endpoints } = schemas.drillSchema.parse(params)
      parts.agents.block(new Set(endpoints))
      parts.logger.warn('drill-cut', { endpoints: endpoints.length })
      return endpoints.length
    }
  }
}
