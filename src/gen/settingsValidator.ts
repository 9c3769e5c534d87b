// Generated from schema/settings.schema.json. Do not edit.
// @ts-nocheck
import ucs2length from 'ajv/dist/runtime/ucs2length.js';
"use strict";
export const validate = validate10;
export default validate10;
const schema11 = {"$schema":"http://json-schema.org/draft-07/schema#","$id":"settings.schema.json","title":"Settings","description":"Settings file of one process.","type":"object","additionalProperties":false,"required":["instance","region","dataCentre","internal","clusterSecretFile"],"properties":{"instance":{"$ref":"#/definitions/name","description":"Name of this instance, unique in the deployment."},"region":{"$ref":"#/definitions/name"},"dataCentre":{"$ref":"#/definitions/name"},"internal":{"$ref":"#/definitions/address","description":"Address for calls from other processes of the deployment."},"clusterSecretFile":{"type":"string","minLength":1,"description":"File with the secret that the processes of the deployment share, relative to the settings file."},"feed":{"type":"array","minItems":1,"items":{"$ref":"#/definitions/address"},"description":"Processes to copy the configuration from: control members for an entry (by default those of entry.control), entries for a sidecar."},"entry":{"$ref":"#/definitions/entry"},"control":{"$ref":"#/definitions/control"},"sidecar":{"$ref":"#/definitions/sidecar"},"logLevel":{"enum":["debug","info","warn","error"],"default":"info"}},"definitions":{"name":{"type":"string","pattern":"^[a-z0-9][a-z0-9._-]{0,62}$","description":"1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit."},"address":{"type":"string","pattern":"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$","description":"IP number and port, such as 10.0.0.5:7001 or [fd00::5]:7001."},"entry":{"title":"EntrySettings","type":"object","additionalProperties":false,"required":["listen","control"],"properties":{"listen":{"$ref":"#/definitions/address","description":"Address for callers."},"control":{"type":"array","minItems":1,"items":{"$ref":"#/definitions/address"},"description":"Internal addresses of the control members."},"policy":{"enum":["default","round-robin","least-load","prefix-hash"],"default":"default"},"drainTimeoutMs":{"type":"integer","minimum":0,"maximum":3600000,"default":600000,"description":"Longest wait for open requests at shutdown."}}},"control":{"title":"ControlSettings","type":"object","additionalProperties":false,"required":["memberId","dataFolder"],"properties":{"memberId":{"$ref":"#/definitions/name"},"dataFolder":{"type":"string","minLength":1,"description":"Folder of the log and the snapshots, relative to the settings file."},"peers":{"type":"array","items":{"$ref":"#/definitions/address"},"description":"Internal addresses of the other control members, used to join."}}},"sidecar":{"title":"SidecarSettings","type":"object","additionalProperties":false,"required":["target","announceTo"],"properties":{"announceTo":{"type":"array","minItems":1,"items":{"$ref":"#/definitions/address"},"description":"Internal addresses of the entries."},"kvCacheStore":{"$ref":"#/definitions/address","description":"KV-cache store for the hot chunks of an engine; without it none are exported or imported."},"target":{"title":"TargetSettings","type":"object","additionalProperties":false,"required":["id","service","kind","address"],"properties":{"id":{"$ref":"#/definitions/name"},"service":{"$ref":"#/definitions/name"},"kind":{"enum":["engine","plain"]},"address":{"$ref":"#/definitions/address"},"model":{"type":"string","minLength":1},"healthPath":{"type":"string","pattern":"^/","default":"/health"}}}}}}};
const schema12 = {"type":"string","pattern":"^[a-z0-9][a-z0-9._-]{0,62}$","description":"1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit."};
const schema15 = {"type":"string","pattern":"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$","description":"IP number and port, such as 10.0.0.5:7001 or [fd00::5]:7001."};
const func2 = Object.prototype.hasOwnProperty;
const func3 = ucs2length.default ?? ucs2length;
const pattern0 = new RegExp("^[a-z0-9][a-z0-9._-]{0,62}$", "u");
const pattern3 = new RegExp("^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$", "u");
const schema17 = {"title":"EntrySettings","type":"object","additionalProperties":false,"required":["listen","control"],"properties":{"listen":{"$ref":"#/definitions/address","description":"Address for callers."},"control":{"type":"array","minItems":1,"items":{"$ref":"#/definitions/address"},"description":"Internal addresses of the control members."},"policy":{"enum":["default","round-robin","least-load","prefix-hash"],"default":"default"},"drainTimeoutMs":{"type":"integer","minimum":0,"maximum":3600000,"default":600000,"description":"Longest wait for open requests at shutdown."}}};

function validate11(data, {instancePath="", parentData, parentDataProperty, rootData=data}={}){
let vErrors = null;
let errors = 0;
if(data && typeof data == "object" && !Array.isArray(data)){
if(data.policy === undefined){
data.policy = "default";
}
if(data.drainTimeoutMs === undefined){
data.drainTimeoutMs = 600000;
}
if(data.listen === undefined){
const err0 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "listen"},message:"must have required property '"+"listen"+"'",schema:schema17.required,parentSchema:schema17,data};
if(vErrors === null){
vErrors = [err0];
}
else {
vErrors.push(err0);
}
errors++;
}
if(data.control === undefined){
const err1 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "control"},message:"must have required property '"+"control"+"'",schema:schema17.required,parentSchema:schema17,data};
if(vErrors === null){
vErrors = [err1];
}
else {
vErrors.push(err1);
}
errors++;
}
for(const key0 in data){
if(!((((key0 === "listen") || (key0 === "control")) || (key0 === "policy")) || (key0 === "drainTimeoutMs"))){
const err2 = {instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema17,data};
if(vErrors === null){
vErrors = [err2];
}
else {
vErrors.push(err2);
}
errors++;
}
}
if(data.listen !== undefined){
let data0 = data.listen;
if(typeof data0 === "string"){
if(!pattern3.test(data0)){
const err3 = {instancePath:instancePath+"/listen",schemaPath:"#/definitions/address/pattern",keyword:"pattern",params:{pattern: "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"},message:"must match pattern \""+"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"+"\"",schema:"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",parentSchema:schema15,data:data0};
if(vErrors === null){
vErrors = [err3];
}
else {
vErrors.push(err3);
}
errors++;
}
}
else {
const err4 = {instancePath:instancePath+"/listen",schemaPath:"#/definitions/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema15.type,parentSchema:schema15,data:data0};
if(vErrors === null){
vErrors = [err4];
}
else {
vErrors.push(err4);
}
errors++;
}
}
if(data.control !== undefined){
let data1 = data.control;
if(Array.isArray(data1)){
if(data1.length < 1){
const err5 = {instancePath:instancePath+"/control",schemaPath:"#/properties/control/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema17.properties.control,data:data1};
if(vErrors === null){
vErrors = [err5];
}
else {
vErrors.push(err5);
}
errors++;
}
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
let data2 = data1[i0];
if(typeof data2 === "string"){
if(!pattern3.test(data2)){
const err6 = {instancePath:instancePath+"/control/" + i0,schemaPath:"#/definitions/address/pattern",keyword:"pattern",params:{pattern: "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"},message:"must match pattern \""+"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"+"\"",schema:"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",parentSchema:schema15,data:data2};
if(vErrors === null){
vErrors = [err6];
}
else {
vErrors.push(err6);
}
errors++;
}
}
else {
const err7 = {instancePath:instancePath+"/control/" + i0,schemaPath:"#/definitions/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema15.type,parentSchema:schema15,data:data2};
if(vErrors === null){
vErrors = [err7];
}
else {
vErrors.push(err7);
}
errors++;
}
}
}
else {
const err8 = {instancePath:instancePath+"/control",schemaPath:"#/properties/control/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema17.properties.control.type,parentSchema:schema17.properties.control,data:data1};
if(vErrors === null){
vErrors = [err8];
}
else {
vErrors.push(err8);
}
errors++;
}
}
let data3 = data.policy;
if(!((((data3 === "default") || (data3 === "round-robin")) || (data3 === "least-load")) || (data3 === "prefix-hash"))){
const err9 = {instancePath:instancePath+"/policy",schemaPath:"#/properties/policy/enum",keyword:"enum",params:{allowedValues: schema17.properties.policy.enum},message:"must be equal to one of the allowed values",schema:schema17.properties.policy.enum,parentSchema:schema17.properties.policy,data:data3};
if(vErrors === null){
vErrors = [err9];
}
else {
vErrors.push(err9);
}
errors++;
}
let data4 = data.drainTimeoutMs;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
const err10 = {instancePath:instancePath+"/drainTimeoutMs",schemaPath:"#/properties/drainTimeoutMs/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema17.properties.drainTimeoutMs.type,parentSchema:schema17.properties.drainTimeoutMs,data:data4};
if(vErrors === null){
vErrors = [err10];
}
else {
vErrors.push(err10);
}
errors++;
}
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 > 3600000 || isNaN(data4)){
const err11 = {instancePath:instancePath+"/drainTimeoutMs",schemaPath:"#/properties/drainTimeoutMs/maximum",keyword:"maximum",params:{comparison: "<=", limit: 3600000},message:"must be <= 3600000",schema:3600000,parentSchema:schema17.properties.drainTimeoutMs,data:data4};
if(vErrors === null){
vErrors = [err11];
}
else {
vErrors.push(err11);
}
errors++;
}
if(data4 < 0 || isNaN(data4)){
const err12 = {instancePath:instancePath+"/drainTimeoutMs",schemaPath:"#/properties/drainTimeoutMs/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema17.properties.drainTimeoutMs,data:data4};
if(vErrors === null){
vErrors = [err12];
}
else {
vErrors.push(err12);
}
errors++;
}
}
}
else {
const err13 = {instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema17.type,parentSchema:schema17,data};
if(vErrors === null){
vErrors = [err13];
}
else {
vErrors.push(err13);
}
errors++;
}
validate11.errors = vErrors;
return errors === 0;
}

const schema20 = {"title":"ControlSettings","type":"object","additionalProperties":false,"required":["memberId","dataFolder"],"properties":{"memberId":{"$ref":"#/definitions/name"},"dataFolder":{"type":"string","minLength":1,"description":"Folder of the log and the snapshots, relative to the settings file."},"peers":{"type":"array","items":{"$ref":"#/definitions/address"},"description":"Internal addresses of the other control members, used to join."}}};

function validate13(data, {instancePath="", parentData, parentDataProperty, rootData=data}={}){
let vErrors = null;
let errors = 0;
if(data && typeof data == "object" && !Array.isArray(data)){
if(data.memberId === undefined){
const err0 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "memberId"},message:"must have required property '"+"memberId"+"'",schema:schema20.required,parentSchema:schema20,data};
if(vErrors === null){
vErrors = [err0];
}
else {
vErrors.push(err0);
}
errors++;
}
if(data.dataFolder === undefined){
const err1 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "dataFolder"},message:"must have required property '"+"dataFolder"+"'",schema:schema20.required,parentSchema:schema20,data};
if(vErrors === null){
vErrors = [err1];
}
else {
vErrors.push(err1);
}
errors++;
}
for(const key0 in data){
if(!(((key0 === "memberId") || (key0 === "dataFolder")) || (key0 === "peers"))){
const err2 = {instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema20,data};
if(vErrors === null){
vErrors = [err2];
}
else {
vErrors.push(err2);
}
errors++;
}
}
if(data.memberId !== undefined){
let data0 = data.memberId;
if(typeof data0 === "string"){
if(!pattern0.test(data0)){
const err3 = {instancePath:instancePath+"/memberId",schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema12,data:data0};
if(vErrors === null){
vErrors = [err3];
}
else {
vErrors.push(err3);
}
errors++;
}
}
else {
const err4 = {instancePath:instancePath+"/memberId",schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema12.type,parentSchema:schema12,data:data0};
if(vErrors === null){
vErrors = [err4];
}
else {
vErrors.push(err4);
}
errors++;
}
}
if(data.dataFolder !== undefined){
let data1 = data.dataFolder;
if(typeof data1 === "string"){
if(func3(data1) < 1){
const err5 = {instancePath:instancePath+"/dataFolder",schemaPath:"#/properties/dataFolder/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema20.properties.dataFolder,data:data1};
if(vErrors === null){
vErrors = [err5];
}
else {
vErrors.push(err5);
}
errors++;
}
}
else {
const err6 = {instancePath:instancePath+"/dataFolder",schemaPath:"#/properties/dataFolder/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema20.properties.dataFolder.type,parentSchema:schema20.properties.dataFolder,data:data1};
if(vErrors === null){
vErrors = [err6];
}
else {
vErrors.push(err6);
}
errors++;
}
}
if(data.peers !== undefined){
let data2 = data.peers;
if(Array.isArray(data2)){
const len0 = data2.length;
for(let i0=0; i0<len0; i0++){
let data3 = data2[i0];
if(typeof data3 === "string"){
if(!pattern3.test(data3)){
const err7 = {instancePath:instancePath+"/peers/" + i0,schemaPath:"#/definitions/address/pattern",keyword:"pattern",params:{pattern: "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"},message:"must match pattern \""+"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"+"\"",schema:"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",parentSchema:schema15,data:data3};
if(vErrors === null){
vErrors = [err7];
}
else {
vErrors.push(err7);
}
errors++;
}
}
else {
const err8 = {instancePath:instancePath+"/peers/" + i0,schemaPath:"#/definitions/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema15.type,parentSchema:schema15,data:data3};
if(vErrors === null){
vErrors = [err8];
}
else {
vErrors.push(err8);
}
errors++;
}
}
}
else {
const err9 = {instancePath:instancePath+"/peers",schemaPath:"#/properties/peers/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema20.properties.peers.type,parentSchema:schema20.properties.peers,data:data2};
if(vErrors === null){
vErrors = [err9];
}
else {
vErrors.push(err9);
}
errors++;
}
}
}
else {
const err10 = {instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema20.type,parentSchema:schema20,data};
if(vErrors === null){
vErrors = [err10];
}
else {
vErrors.push(err10);
}
errors++;
}
validate13.errors = vErrors;
return errors === 0;
}

const schema23 = {"title":"SidecarSettings","type":"object","additionalProperties":false,"required":["target","announceTo"],"properties":{"announceTo":{"type":"array","minItems":1,"items":{"$ref":"#/definitions/address"},"description":"Internal addresses of the entries."},"kvCacheStore":{"$ref":"#/definitions/address","description":"KV-cache store for the hot chunks of an engine; without it none are exported or imported."},"target":{"title":"TargetSettings","type":"object","additionalProperties":false,"required":["id","service","kind","address"],"properties":{"id":{"$ref":"#/definitions/name"},"service":{"$ref":"#/definitions/name"},"kind":{"enum":["engine","plain"]},"address":{"$ref":"#/definitions/address"},"model":{"type":"string","minLength":1},"healthPath":{"type":"string","pattern":"^/","default":"/health"}}}}};
const pattern14 = new RegExp("^/", "u");

function validate15(data, {instancePath="", parentData, parentDataProperty, rootData=data}={}){
let vErrors = null;
let errors = 0;
if(data && typeof data == "object" && !Array.isArray(data)){
if(data.target === undefined){
const err0 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "target"},message:"must have required property '"+"target"+"'",schema:schema23.required,parentSchema:schema23,data};
if(vErrors === null){
vErrors = [err0];
}
else {
vErrors.push(err0);
}
errors++;
}
if(data.announceTo === undefined){
const err1 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "announceTo"},message:"must have required property '"+"announceTo"+"'",schema:schema23.required,parentSchema:schema23,data};
if(vErrors === null){
vErrors = [err1];
}
else {
vErrors.push(err1);
}
errors++;
}
for(const key0 in data){
if(!(((key0 === "announceTo") || (key0 === "kvCacheStore")) || (key0 === "target"))){
const err2 = {instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema23,data};
if(vErrors === null){
vErrors = [err2];
}
else {
vErrors.push(err2);
}
errors++;
}
}
if(data.announceTo !== undefined){
let data0 = data.announceTo;
if(Array.isArray(data0)){
if(data0.length < 1){
const err3 = {instancePath:instancePath+"/announceTo",schemaPath:"#/properties/announceTo/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema23.properties.announceTo,data:data0};
if(vErrors === null){
vErrors = [err3];
}
else {
vErrors.push(err3);
}
errors++;
}
const len0 = data0.length;
for(let i0=0; i0<len0; i0++){
let data1 = data0[i0];
if(typeof data1 === "string"){
if(!pattern3.test(data1)){
const err4 = {instancePath:instancePath+"/announceTo/" + i0,schemaPath:"#/definitions/address/pattern",keyword:"pattern",params:{pattern: "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"},message:"must match pattern \""+"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"+"\"",schema:"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",parentSchema:schema15,data:data1};
if(vErrors === null){
vErrors = [err4];
}
else {
vErrors.push(err4);
}
errors++;
}
}
else {
const err5 = {instancePath:instancePath+"/announceTo/" + i0,schemaPath:"#/definitions/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema15.type,parentSchema:schema15,data:data1};
if(vErrors === null){
vErrors = [err5];
}
else {
vErrors.push(err5);
}
errors++;
}
}
}
else {
const err6 = {instancePath:instancePath+"/announceTo",schemaPath:"#/properties/announceTo/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema23.properties.announceTo.type,parentSchema:schema23.properties.announceTo,data:data0};
if(vErrors === null){
vErrors = [err6];
}
else {
vErrors.push(err6);
}
errors++;
}
}
if(data.kvCacheStore !== undefined){
let data2 = data.kvCacheStore;
if(typeof data2 === "string"){
if(!pattern3.test(data2)){
const err7 = {instancePath:instancePath+"/kvCacheStore",schemaPath:"#/definitions/address/pattern",keyword:"pattern",params:{pattern: "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"},message:"must match pattern \""+"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"+"\"",schema:"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",parentSchema:schema15,data:data2};
if(vErrors === null){
vErrors = [err7];
}
else {
vErrors.push(err7);
}
errors++;
}
}
else {
const err8 = {instancePath:instancePath+"/kvCacheStore",schemaPath:"#/definitions/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema15.type,parentSchema:schema15,data:data2};
if(vErrors === null){
vErrors = [err8];
}
else {
vErrors.push(err8);
}
errors++;
}
}
if(data.target !== undefined){
let data3 = data.target;
if(data3 && typeof data3 == "object" && !Array.isArray(data3)){
if(data3.healthPath === undefined){
data3.healthPath = "/health";
}
if(data3.id === undefined){
const err9 = {instancePath:instancePath+"/target",schemaPath:"#/properties/target/required",keyword:"required",params:{missingProperty: "id"},message:"must have required property '"+"id"+"'",schema:schema23.properties.target.required,parentSchema:schema23.properties.target,data:data3};
if(vErrors === null){
vErrors = [err9];
}
else {
vErrors.push(err9);
}
errors++;
}
if(data3.service === undefined){
const err10 = {instancePath:instancePath+"/target",schemaPath:"#/properties/target/required",keyword:"required",params:{missingProperty: "service"},message:"must have required property '"+"service"+"'",schema:schema23.properties.target.required,parentSchema:schema23.properties.target,data:data3};
if(vErrors === null){
vErrors = [err10];
}
else {
vErrors.push(err10);
}
errors++;
}
if(data3.kind === undefined){
const err11 = {instancePath:instancePath+"/target",schemaPath:"#/properties/target/required",keyword:"required",params:{missingProperty: "kind"},message:"must have required property '"+"kind"+"'",schema:schema23.properties.target.required,parentSchema:schema23.properties.target,data:data3};
if(vErrors === null){
vErrors = [err11];
}
else {
vErrors.push(err11);
}
errors++;
}
if(data3.address === undefined){
const err12 = {instancePath:instancePath+"/target",schemaPath:"#/properties/target/required",keyword:"required",params:{missingProperty: "address"},message:"must have required property '"+"address"+"'",schema:schema23.properties.target.required,parentSchema:schema23.properties.target,data:data3};
if(vErrors === null){
vErrors = [err12];
}
else {
vErrors.push(err12);
}
errors++;
}
for(const key1 in data3){
if(!((((((key1 === "id") || (key1 === "service")) || (key1 === "kind")) || (key1 === "address")) || (key1 === "model")) || (key1 === "healthPath"))){
const err13 = {instancePath:instancePath+"/target",schemaPath:"#/properties/target/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema23.properties.target,data:data3};
if(vErrors === null){
vErrors = [err13];
}
else {
vErrors.push(err13);
}
errors++;
}
}
if(data3.id !== undefined){
let data4 = data3.id;
if(typeof data4 === "string"){
if(!pattern0.test(data4)){
const err14 = {instancePath:instancePath+"/target/id",schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema12,data:data4};
if(vErrors === null){
vErrors = [err14];
}
else {
vErrors.push(err14);
}
errors++;
}
}
else {
const err15 = {instancePath:instancePath+"/target/id",schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema12.type,parentSchema:schema12,data:data4};
if(vErrors === null){
vErrors = [err15];
}
else {
vErrors.push(err15);
}
errors++;
}
}
if(data3.service !== undefined){
let data5 = data3.service;
if(typeof data5 === "string"){
if(!pattern0.test(data5)){
const err16 = {instancePath:instancePath+"/target/service",schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema12,data:data5};
if(vErrors === null){
vErrors = [err16];
}
else {
vErrors.push(err16);
}
errors++;
}
}
else {
const err17 = {instancePath:instancePath+"/target/service",schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema12.type,parentSchema:schema12,data:data5};
if(vErrors === null){
vErrors = [err17];
}
else {
vErrors.push(err17);
}
errors++;
}
}
if(data3.kind !== undefined){
let data6 = data3.kind;
if(!((data6 === "engine") || (data6 === "plain"))){
const err18 = {instancePath:instancePath+"/target/kind",schemaPath:"#/properties/target/properties/kind/enum",keyword:"enum",params:{allowedValues: schema23.properties.target.properties.kind.enum},message:"must be equal to one of the allowed values",schema:schema23.properties.target.properties.kind.enum,parentSchema:schema23.properties.target.properties.kind,data:data6};
if(vErrors === null){
vErrors = [err18];
}
else {
vErrors.push(err18);
}
errors++;
}
}
if(data3.address !== undefined){
let data7 = data3.address;
if(typeof data7 === "string"){
if(!pattern3.test(data7)){
const err19 = {instancePath:instancePath+"/target/address",schemaPath:"#/definitions/address/pattern",keyword:"pattern",params:{pattern: "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"},message:"must match pattern \""+"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"+"\"",schema:"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",parentSchema:schema15,data:data7};
if(vErrors === null){
vErrors = [err19];
}
else {
vErrors.push(err19);
}
errors++;
}
}
else {
const err20 = {instancePath:instancePath+"/target/address",schemaPath:"#/definitions/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema15.type,parentSchema:schema15,data:data7};
if(vErrors === null){
vErrors = [err20];
}
else {
vErrors.push(err20);
}
errors++;
}
}
if(data3.model !== undefined){
let data8 = data3.model;
if(typeof data8 === "string"){
if(func3(data8) < 1){
const err21 = {instancePath:instancePath+"/target/model",schemaPath:"#/properties/target/properties/model/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema23.properties.target.properties.model,data:data8};
if(vErrors === null){
vErrors = [err21];
}
else {
vErrors.push(err21);
}
errors++;
}
}
else {
const err22 = {instancePath:instancePath+"/target/model",schemaPath:"#/properties/target/properties/model/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema23.properties.target.properties.model.type,parentSchema:schema23.properties.target.properties.model,data:data8};
if(vErrors === null){
vErrors = [err22];
}
else {
vErrors.push(err22);
}
errors++;
}
}
let data9 = data3.healthPath;
if(typeof data9 === "string"){
if(!pattern14.test(data9)){
const err23 = {instancePath:instancePath+"/target/healthPath",schemaPath:"#/properties/target/properties/healthPath/pattern",keyword:"pattern",params:{pattern: "^/"},message:"must match pattern \""+"^/"+"\"",schema:"^/",parentSchema:schema23.properties.target.properties.healthPath,data:data9};
if(vErrors === null){
vErrors = [err23];
}
else {
vErrors.push(err23);
}
errors++;
}
}
else {
const err24 = {instancePath:instancePath+"/target/healthPath",schemaPath:"#/properties/target/properties/healthPath/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema23.properties.target.properties.healthPath.type,parentSchema:schema23.properties.target.properties.healthPath,data:data9};
if(vErrors === null){
vErrors = [err24];
}
else {
vErrors.push(err24);
}
errors++;
}
}
else {
const err25 = {instancePath:instancePath+"/target",schemaPath:"#/properties/target/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema23.properties.target.type,parentSchema:schema23.properties.target,data:data3};
if(vErrors === null){
vErrors = [err25];
}
else {
vErrors.push(err25);
}
errors++;
}
}
}
else {
const err26 = {instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema23.type,parentSchema:schema23,data};
if(vErrors === null){
vErrors = [err26];
}
else {
vErrors.push(err26);
}
errors++;
}
validate15.errors = vErrors;
return errors === 0;
}


function validate10(data, {instancePath="", parentData, parentDataProperty, rootData=data}={}){
/*# sourceURL="settings.schema.json" */;
let vErrors = null;
let errors = 0;
if(data && typeof data == "object" && !Array.isArray(data)){
if(data.logLevel === undefined){
data.logLevel = "info";
}
if(data.instance === undefined){
const err0 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "instance"},message:"must have required property '"+"instance"+"'",schema:schema11.required,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err0];
}
else {
vErrors.push(err0);
}
errors++;
}
if(data.region === undefined){
const err1 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "region"},message:"must have required property '"+"region"+"'",schema:schema11.required,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err1];
}
else {
vErrors.push(err1);
}
errors++;
}
if(data.dataCentre === undefined){
const err2 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "dataCentre"},message:"must have required property '"+"dataCentre"+"'",schema:schema11.required,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err2];
}
else {
vErrors.push(err2);
}
errors++;
}
if(data.internal === undefined){
const err3 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "internal"},message:"must have required property '"+"internal"+"'",schema:schema11.required,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err3];
}
else {
vErrors.push(err3);
}
errors++;
}
if(data.clusterSecretFile === undefined){
const err4 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "clusterSecretFile"},message:"must have required property '"+"clusterSecretFile"+"'",schema:schema11.required,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err4];
}
else {
vErrors.push(err4);
}
errors++;
}
for(const key0 in data){
if(!(func2.call(schema11.properties, key0))){
const err5 = {instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err5];
}
else {
vErrors.push(err5);
}
errors++;
}
}
if(data.instance !== undefined){
let data0 = data.instance;
if(typeof data0 === "string"){
if(!pattern0.test(data0)){
const err6 = {instancePath:instancePath+"/instance",schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema12,data:data0};
if(vErrors === null){
vErrors = [err6];
}
else {
vErrors.push(err6);
}
errors++;
}
}
else {
const err7 = {instancePath:instancePath+"/instance",schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema12.type,parentSchema:schema12,data:data0};
if(vErrors === null){
vErrors = [err7];
}
else {
vErrors.push(err7);
}
errors++;
}
}
if(data.region !== undefined){
let data1 = data.region;
if(typeof data1 === "string"){
if(!pattern0.test(data1)){
const err8 = {instancePath:instancePath+"/region",schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema12,data:data1};
if(vErrors === null){
vErrors = [err8];
}
else {
vErrors.push(err8);
}
errors++;
}
}
else {
const err9 = {instancePath:instancePath+"/region",schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema12.type,parentSchema:schema12,data:data1};
if(vErrors === null){
vErrors = [err9];
}
else {
vErrors.push(err9);
}
errors++;
}
}
if(data.dataCentre !== undefined){
let data2 = data.dataCentre;
if(typeof data2 === "string"){
if(!pattern0.test(data2)){
const err10 = {instancePath:instancePath+"/dataCentre",schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema12,data:data2};
if(vErrors === null){
vErrors = [err10];
}
else {
vErrors.push(err10);
}
errors++;
}
}
else {
const err11 = {instancePath:instancePath+"/dataCentre",schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema12.type,parentSchema:schema12,data:data2};
if(vErrors === null){
vErrors = [err11];
}
else {
vErrors.push(err11);
}
errors++;
}
}
if(data.internal !== undefined){
let data3 = data.internal;
if(typeof data3 === "string"){
if(!pattern3.test(data3)){
const err12 = {instancePath:instancePath+"/internal",schemaPath:"#/definitions/address/pattern",keyword:"pattern",params:{pattern: "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"},message:"must match pattern \""+"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"+"\"",schema:"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",parentSchema:schema15,data:data3};
if(vErrors === null){
vErrors = [err12];
}
else {
vErrors.push(err12);
}
errors++;
}
}
else {
const err13 = {instancePath:instancePath+"/internal",schemaPath:"#/definitions/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema15.type,parentSchema:schema15,data:data3};
if(vErrors === null){
vErrors = [err13];
}
else {
vErrors.push(err13);
}
errors++;
}
}
if(data.clusterSecretFile !== undefined){
let data4 = data.clusterSecretFile;
if(typeof data4 === "string"){
if(func3(data4) < 1){
const err14 = {instancePath:instancePath+"/clusterSecretFile",schemaPath:"#/properties/clusterSecretFile/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema11.properties.clusterSecretFile,data:data4};
if(vErrors === null){
vErrors = [err14];
}
else {
vErrors.push(err14);
}
errors++;
}
}
else {
const err15 = {instancePath:instancePath+"/clusterSecretFile",schemaPath:"#/properties/clusterSecretFile/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema11.properties.clusterSecretFile.type,parentSchema:schema11.properties.clusterSecretFile,data:data4};
if(vErrors === null){
vErrors = [err15];
}
else {
vErrors.push(err15);
}
errors++;
}
}
if(data.feed !== undefined){
let data5 = data.feed;
if(Array.isArray(data5)){
if(data5.length < 1){
const err16 = {instancePath:instancePath+"/feed",schemaPath:"#/properties/feed/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema11.properties.feed,data:data5};
if(vErrors === null){
vErrors = [err16];
}
else {
vErrors.push(err16);
}
errors++;
}
const len0 = data5.length;
for(let i0=0; i0<len0; i0++){
let data6 = data5[i0];
if(typeof data6 === "string"){
if(!pattern3.test(data6)){
const err17 = {instancePath:instancePath+"/feed/" + i0,schemaPath:"#/definitions/address/pattern",keyword:"pattern",params:{pattern: "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"},message:"must match pattern \""+"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"+"\"",schema:"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",parentSchema:schema15,data:data6};
if(vErrors === null){
vErrors = [err17];
}
else {
vErrors.push(err17);
}
errors++;
}
}
else {
const err18 = {instancePath:instancePath+"/feed/" + i0,schemaPath:"#/definitions/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema15.type,parentSchema:schema15,data:data6};
if(vErrors === null){
vErrors = [err18];
}
else {
vErrors.push(err18);
}
errors++;
}
}
}
else {
const err19 = {instancePath:instancePath+"/feed",schemaPath:"#/properties/feed/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema11.properties.feed.type,parentSchema:schema11.properties.feed,data:data5};
if(vErrors === null){
vErrors = [err19];
}
else {
vErrors.push(err19);
}
errors++;
}
}
if(data.entry !== undefined){
if(!(validate11(data.entry, {instancePath:instancePath+"/entry",parentData:data,parentDataProperty:"entry",rootData}))){
vErrors = vErrors === null ? validate11.errors : vErrors.concat(validate11.errors);
errors = vErrors.length;
}
}
if(data.control !== undefined){
if(!(validate13(data.control, {instancePath:instancePath+"/control",parentData:data,parentDataProperty:"control",rootData}))){
vErrors = vErrors === null ? validate13.errors : vErrors.concat(validate13.errors);
errors = vErrors.length;
}
}
if(data.sidecar !== undefined){
if(!(validate15(data.sidecar, {instancePath:instancePath+"/sidecar",parentData:data,parentDataProperty:"sidecar",rootData}))){
vErrors = vErrors === null ? validate15.errors : vErrors.concat(validate15.errors);
errors = vErrors.length;
}
}
let data10 = data.logLevel;
if(!((((data10 === "debug") || (data10 === "info")) || (data10 === "warn")) || (data10 === "error"))){
const err20 = {instancePath:instancePath+"/logLevel",schemaPath:"#/properties/logLevel/enum",keyword:"enum",params:{allowedValues: schema11.properties.logLevel.enum},message:"must be equal to one of the allowed values",schema:schema11.properties.logLevel.enum,parentSchema:schema11.properties.logLevel,data:data10};
if(vErrors === null){
vErrors = [err20];
}
else {
vErrors.push(err20);
}
errors++;
}
}
else {
const err21 = {instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema11.type,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err21];
}
else {
vErrors.push(err21);
}
errors++;
}
validate10.errors = vErrors;
return errors === 0;
}
