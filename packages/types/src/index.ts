/** Shapes, ids, outcomes and errors shared by the packages of switchridge. */
export * from './constants/index.js'
export * from './delay/index.js'
export * from './errors/index.js'
export * from './ids/index.js'
export * from './jitter/index.js'
export * from './members/index.js'
export * from './outcome/index.js'
export * from './table/index.js'
