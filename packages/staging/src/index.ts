/** Distribution of weights into the stages of engines, planned by the bounds of the versions named. */
export * from './createPieceFetcher/index.js'
export * from './createPieceStore/index.js'
export * from './createStager/index.js'
export * from './planVersions/index.js'
export * from './rankProviders/index.js'
export * from './types/index.js'
